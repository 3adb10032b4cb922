# The build for machines that run only ibisrock-entry. It compiles what the program needs of the library, so that it
# needs few packages and the process maps few shared libraries.
find_package(PkgConfig REQUIRED)
pkg_check_modules(PROMETHEUS REQUIRED IMPORTED_TARGET prometheus-cpp-core)
file(GLOB ENTRY_SOURCES CONFIGURE_DEPENDS src/entry/*.cpp platform/*.cpp)
add_executable(ibisrock-entry ${ENTRY_SOURCES} ${LOOP_SOURCES}
  src/adapters/socket_address.cpp src/base/hashing.cpp src/base/store_position.cpp src/base/timer_service.cpp src/base/unit_text.cpp src/base/verdict.cpp
  src/process/component_log.cpp src/process/connection_warmer.cpp src/process/crash_history.cpp src/process/crash_memory.cpp
  src/process/crash_watch.cpp src/process/extra_attempt_share.cpp src/process/kind_progress.cpp src/process/latency_tracker.cpp src/process/older_entries.cpp src/process/pool_state.cpp
  src/process/relay_directory.cpp
  src/process/route_activation.cpp src/process/route_state.cpp src/process/router.cpp src/process/store_eras.cpp src/process/target.cpp src/process/target_choice.cpp
  src/process/target_directory.cpp src/process/target_notices.cpp src/process/wait_estimate.cpp src/request/answer_timing.cpp src/request/error_reply.cpp
  src/request/gather_run.cpp src/request/pool_call.cpp src/request/record_merge.cpp src/request/relay_run.cpp
  src/request/routed_run.cpp src/version/route_table.cpp)
target_include_directories(ibisrock-entry PRIVATE ${CMAKE_CURRENT_SOURCE_DIR} ${CMAKE_CURRENT_SOURCE_DIR}/src)
target_link_libraries(ibisrock-entry PRIVATE Threads::Threads PkgConfig::PROMETHEUS xxhash ibisrock_options)
