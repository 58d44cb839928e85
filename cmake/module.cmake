# hibiscusferry_module(NAME DEPENDS OTHER... LIBRARIES LIB...)
#
# Declares the library module modules/NAME: one public header NAME.hpp, the
# translation units modules/NAME/*.cpp, which include the module's sources, and
# the tests (*_test.cpp) next to the classes that they test.
function(hibiscusferry_module name)
    cmake_parse_arguments(arg "" "" "DEPENDS;LIBRARIES" ${ARGN})
    set(directory ${CMAKE_SOURCE_DIR}/modules/${name})
    file(GLOB units CONFIGURE_DEPENDS ${directory}/*.cpp)
    add_library(${name} STATIC ${units})
    target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/modules)
    target_link_libraries(${name} PUBLIC ${arg_DEPENDS} ${arg_LIBRARIES}
        hibiscusferry_options)

    if(HIBISCUSFERRY_BUILD_TESTS)
        file(GLOB_RECURSE tests CONFIGURE_DEPENDS ${directory}/*_test.cpp)
        if(tests)
            hibiscusferry_test(${name}_test SOURCES ${tests} DEPENDS ${name})
        endif()
    endif()
endfunction()

# hibiscusferry_program(NAME DIRECTORY DEPENDS MODULE...)
#
# Declares a program built from DIRECTORY/*.cpp, without its tests.
function(hibiscusferry_program name directory)
    cmake_parse_arguments(arg "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${directory}/*.cpp)
    list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE ${arg_DEPENDS} hibiscusferry_options)
endfunction()
