#include "heatherlatch/telemetry/internal/line_sink.h"

#include <easylogging++.h>

#include <cstdio>
#include <mutex>

INITIALIZE_EASYLOGGINGPP

namespace heatherlatch::internal {
namespace {

constexpr char kFileLoggerPrefix[] = "heatherlatch-file-";
constexpr char kStandardErrorLoggerPrefix[] = "heatherlatch-stderr-";
constexpr char kStandardErrorCallback[] = "heatherlatch-stderr";

bool StartsWith(const std::string& text, std::string_view prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

// Writes lines to standard error. Easylogging++ itself writes only to files and
// to standard output.
class StandardErrorCallback : public el::LogDispatchCallback {
 protected:
  void handle(  // NOLINT(readability-identifier-naming)
      const el::LogDispatchData* data) override {
    const el::LogMessage* message = data->logMessage();
    if (!StartsWith(message->logger()->id(), kStandardErrorLoggerPrefix)) {
      return;
    }
    const std::string line = message->message() + "\n";
    std::fwrite(line.data(), 1, line.size(), stderr);
  }
};

// Guards changes of the Easylogging++ registry of loggers.
std::mutex& RegistryMutex() {
  static std::mutex mutex;
  return mutex;
}

std::string NextId(std::string_view prefix) {
  static int last = 0;
  return std::string(prefix) + std::to_string(++last);
}

el::Configurations ConfigurationFor(const std::string& path) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  configuration.setGlobally(el::ConfigurationType::ToFile,
                            path.empty() ? "false" : "true");
  if (path.empty()) return configuration;
  configuration.setGlobally(el::ConfigurationType::Filename, path);
  configuration.setGlobally(el::ConfigurationType::LogFlushThreshold, "1");
  return configuration;
}

}  // namespace

LineSink::LineSink(const std::string& path) {
  const std::lock_guard<std::mutex> lock(RegistryMutex());
  el::Helpers::installLogDispatchCallback<StandardErrorCallback>(
      kStandardErrorCallback);
  if (!path.empty()) {
    Configure(path);
    file_opened_ = logger_->typedConfigurations()->toFile(el::Level::Info);
    if (file_opened_) return;
    el::Loggers::unregisterLogger(id_);
  }
  Configure("");
}

LineSink::~LineSink() {
  const std::lock_guard<std::mutex> lock(RegistryMutex());
  el::Loggers::unregisterLogger(id_);
}

void LineSink::Configure(const std::string& path) {
  id_ = NextId(path.empty() ? kStandardErrorLoggerPrefix : kFileLoggerPrefix);
  logger_ = el::Loggers::getLogger(id_);
  logger_->configure(ConfigurationFor(path));
}

void LineSink::Write(const std::string& line) { logger_->info(line); }

}  // namespace heatherlatch::internal
