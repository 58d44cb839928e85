# Tests of the adapter, benchmarks, stand-ins, model checks, and tests that span
# several modules. The tests of a module are declared with the module.

# ------------------------------------------------------------------------
# Benchmarks.
# ------------------------------------------------------------------------

set(decision_modules
    claims configuration admission routing membership authority roles)

file(GLOB benches CONFIGURE_DEPENDS extras/benches/*_bench.cpp)
foreach(bench ${benches})
    get_filename_component(name ${bench} NAME_WE)
    add_executable(${name} ${bench})
    target_link_libraries(${name} PRIVATE
        ${decision_modules} gflags hibiscusferry_options)
endforeach()
target_link_libraries(streams_bench PRIVATE gateway)
target_link_libraries(large_configuration_bench PRIVATE platform_adapter)

# ------------------------------------------------------------------------
# Stand-ins for the platform and the targets; never linked into the daemons.
# ------------------------------------------------------------------------

add_library(stand_in_support STATIC
    extras/stand_ins/support/notifier.cpp
    extras/stand_ins/support/silent_connections.cpp
    extras/stand_ins/support/stand_in_program.cpp)
target_include_directories(stand_in_support PUBLIC ${CMAKE_SOURCE_DIR}/extras)
target_link_libraries(stand_in_support PUBLIC http glog::glog gflags
    nlohmann_json::nlohmann_json hibiscusferry_options)
add_library(store_stand_in STATIC
    extras/stand_ins/platform/platform_stand_in.cpp
    extras/stand_ins/platform/store_table.cpp)
target_link_libraries(store_stand_in PUBLIC stand_in_support storage)
add_executable(platform_stand_in
    extras/stand_ins/platform/platform_stand_in_main.cpp)
target_link_libraries(platform_stand_in PRIVATE store_stand_in)
hibiscusferry_program(engine_stand_in extras/stand_ins/engine
    DEPENDS stand_in_support)
hibiscusferry_program(application_stand_in extras/stand_ins/application
    DEPENDS stand_in_support)
hibiscusferry_program(server_stand_in extras/stand_ins/server
    DEPENDS stand_in_support)
hibiscusferry_program(duty_receiver extras/stand_ins/duties
    DEPENDS stand_in_support)

# ------------------------------------------------------------------------
# Tests of the adapter to the users' platform.
# ------------------------------------------------------------------------

file(GLOB platform_tests CONFIGURE_DEPENDS platform/*_test.cpp)
# Programs of their own, as each may be listed in KNOWN-RED.txt.
foreach(name crashing_prompt_test crashing_request_test endless_table_test
        late_order_test late_read_test
        not_run_claim_test odd_row_test overload_test request_limit_test
        silent_target_test slow_transfer_test stream_hosts_test stream_pieces_test
        stream_version_test unsent_request_test workspace_request_test)
    list(REMOVE_ITEM platform_tests ${CMAKE_SOURCE_DIR}/platform/${name}.cpp)
    hibiscusferry_test(${name} SOURCES platform/${name}.cpp
        DEPENDS platform_adapter store_stand_in)
endforeach()
# Compares what a gateway serves under two loads.
set_tests_properties(overload_test PROPERTIES RUN_SERIAL TRUE)
if(platform_tests)
    hibiscusferry_test(platform_adapter_test SOURCES ${platform_tests}
        DEPENDS platform_adapter store_stand_in)
endif()

# ------------------------------------------------------------------------
# Tests that span several modules, and model checks.
# ------------------------------------------------------------------------

# Checks the objective of the role policy on a few scenarios and seeds.
add_subdirectory(${CMAKE_SOURCE_DIR}/extras/benches/roles)

# Tests that inject faults into a fleet of real processes.
file(GLOB process_tests CONFIGURE_DEPENDS extras/process_tests/*)
foreach(process_test ${process_tests})
    get_filename_component(name ${process_test} NAME)
    add_test(NAME process_${name} COMMAND ${process_test})
    set_tests_properties(process_${name} PROPERTIES
        TIMEOUT 180 RUN_SERIAL TRUE)
endforeach()

# Judges REFUSED, TWICE, ORDER and MIXED on real processes under faults.
add_library(soak_stand_in STATIC
    review/stand_in/deployment.cpp review/stand_in/wire.cpp)
# The linter does not cover the sources of the review, which stay as they are.
set_target_properties(soak_stand_in PROPERTIES EXPORT_COMPILE_COMMANDS OFF)
target_include_directories(soak_stand_in SYSTEM PUBLIC
    ${CMAKE_SOURCE_DIR}/review/stand_in)
target_link_libraries(soak_stand_in PUBLIC
    nlohmann_json::nlohmann_json Threads::Threads)
hibiscusferry_program(protocol_soak extras/soak DEPENDS soak_stand_in gflags)
target_include_directories(protocol_soak PRIVATE ${CMAKE_SOURCE_DIR}/extras)
add_test(NAME soak_protocol
    COMMAND protocol_soak --seed=1 --duration=50
        --program=$<TARGET_FILE:hibiscusferry>)
set_tests_properties(soak_protocol PROPERTIES TIMEOUT 180 RUN_SERIAL TRUE)

# Judges on real processes whether configurations are in force in time.
add_executable(configuration_soak
    extras/configuration_soak/configuration_run.cpp
    extras/configuration_soak/configuration_soak.cpp
    extras/configuration_soak/host_disturbances.cpp
    extras/configuration_soak/version_log.cpp
    extras/soak/request_ledger.cpp extras/soak/seeded_random.cpp
    extras/soak/soak_host.cpp extras/soak/tcp_proxy.cpp extras/soak/traffic.cpp)
target_include_directories(configuration_soak PRIVATE ${CMAKE_SOURCE_DIR}/extras)
target_link_libraries(configuration_soak PRIVATE
    soak_stand_in gflags hibiscusferry_options)
add_test(NAME soak_configuration
    COMMAND configuration_soak --only_relays --seed=2 --duration=60
        --program=$<TARGET_FILE:hibiscusferry>)
set_tests_properties(soak_configuration PROPERTIES TIMEOUT 180 RUN_SERIAL TRUE)

# Crowds of clients against a process with lowered limits.
hibiscusferry_test(client_limits_test
    SOURCES extras/client_limits/client_crowd.cpp
        extras/client_limits/client_limits_test.cpp
        extras/client_limits/limited_process.cpp
    DEPENDS soak_stand_in)
target_include_directories(client_limits_test PRIVATE
    ${CMAKE_SOURCE_DIR}/extras)
target_compile_definitions(client_limits_test PRIVATE
    HIBISCUSFERRY_PROGRAM="$<TARGET_FILE:hibiscusferry>")
add_dependencies(client_limits_test hibiscusferry)
set_tests_properties(client_limits_test PROPERTIES
    TIMEOUT 900 RUN_SERIAL TRUE)

# The build of the deploy file.
add_test(NAME deploy_build_needs_no_tests_and_no_undeclared_packages
    COMMAND ${CMAKE_SOURCE_DIR}/scripts/check-deploy-build)
set_tests_properties(deploy_build_needs_no_tests_and_no_undeclared_packages
    PROPERTIES TIMEOUT 1200 RUN_SERIAL TRUE)

# Every parser of untrusted input, fuzzed for a fixed number of runs.
file(GLOB fuzzers CONFIGURE_DEPENDS fuzz/*_fuzzer.cpp)
foreach(fuzzer ${fuzzers})
    get_filename_component(name ${fuzzer} NAME_WE)
    string(REPLACE "_fuzzer" "" name ${name})
    add_test(NAME fuzz_${name}
        COMMAND ${CMAKE_SOURCE_DIR}/scripts/fuzz 20000 ${name})
    set_tests_properties(fuzz_${name} PROPERTIES TIMEOUT 600)
endforeach()

file(GLOB models CONFIGURE_DEPENDS models/*.pml)
foreach(model ${models})
    get_filename_component(name ${model} NAME_WE)
    add_test(NAME model_${name}
        COMMAND ${CMAKE_SOURCE_DIR}/scripts/check-model ${model})
    set_tests_properties(model_${name} PROPERTIES TIMEOUT 600)
endforeach()
