# The Debian 12 libraries that heatherlatch depends on. scripts/setup installs
# them.
find_package(Threads REQUIRED)
find_package(yaml-cpp REQUIRED)
find_package(CLI11 REQUIRED)
find_package(nlohmann_json REQUIRED)
if(HEATHERLATCH_HOST_ONLY)
  return()
endif()
find_package(CURL REQUIRED)
find_package(Catch2 2 REQUIRED)
find_package(benchmark REQUIRED)
find_library(ULFIUS_LIBRARY ulfius REQUIRED)
find_library(ORCANIA_LIBRARY orcania REQUIRED)
find_library(MICROHTTPD_LIBRARY microhttpd REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)
find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)

# prometheus-cpp-dev conflicts with libulfius-dev, so scripts/setup unpacks its
# headers into the build folder. The installed run-time library is linked.
set(PROMETHEUS_INCLUDE_DIR ${CMAKE_SOURCE_DIR}/build/prometheus-cpp/usr/include
    CACHE PATH "Headers of prometheus-cpp, unpacked by scripts/setup")
find_file(PROMETHEUS_CORE_LIBRARY libprometheus-cpp-core.so.1.0
          PATHS /usr/lib/x86_64-linux-gnu /usr/lib/aarch64-linux-gnu REQUIRED)
add_library(prometheus_core INTERFACE)
target_include_directories(prometheus_core SYSTEM INTERFACE
                           ${PROMETHEUS_INCLUDE_DIR})
target_link_libraries(prometheus_core INTERFACE ${PROMETHEUS_CORE_LIBRARY})

# Easylogging++ installs its only source file with the headers.
find_file(EASYLOGGING_SOURCE easylogging++.cc PATHS /usr/include REQUIRED)
add_library(easyloggingpp STATIC ${EASYLOGGING_SOURCE})
target_compile_definitions(easyloggingpp PUBLIC ELPP_THREAD_SAFE
                                                ELPP_NO_DEFAULT_LOG_FILE
                                                ELPP_DISABLE_LOG_FILE_FROM_ARG)
target_link_libraries(easyloggingpp PUBLIC Threads::Threads)

add_library(ulfius INTERFACE)
target_link_libraries(ulfius INTERFACE ${ULFIUS_LIBRARY} ${ORCANIA_LIBRARY}
                                       ${MICROHTTPD_LIBRARY} Threads::Threads)

add_library(rapidcheck INTERFACE)
target_link_libraries(rapidcheck INTERFACE ${RAPIDCHECK_LIBRARY})

add_library(xxhash INTERFACE)
target_link_libraries(xxhash INTERFACE ${XXHASH_LIBRARY})
