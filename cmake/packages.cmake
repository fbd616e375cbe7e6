# Finds the third-party libraries and defines the function that declares a package of the workspace.

find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(spdlog REQUIRED)
find_package(tl-expected REQUIRED)
find_package(gflags REQUIRED)
find_package(tomlplusplus REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(EVENT REQUIRED IMPORTED_TARGET libevent libevent_pthreads)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)

# cranberrydock_package(NAME DEPENDS ...): adds a library built from the sources in packages/NAME/src,
# or a header-only library if there are none. src/main.cpp is left to the program's own target.
function(cranberrydock_package name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/packages/${name}/src/*.cpp)
    list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
    set(target cranberrydock_${name})
    if(sources)
        add_library(${target} STATIC ${sources})
        set(scope PUBLIC)
        target_compile_options(${target} PRIVATE ${CRANBERRYDOCK_WARNINGS})
        target_include_directories(${target} PRIVATE ${CMAKE_SOURCE_DIR}/packages/${name}/src)
    else()
        add_library(${target} INTERFACE)
        set(scope INTERFACE)
    endif()
    add_library(cranberrydock::${name} ALIAS ${target})
    target_include_directories(${target} ${scope}
        $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/packages/${name}/include>
        $<INSTALL_INTERFACE:include>)
    target_link_libraries(${target} ${scope} ${ARG_DEPENDS})
    set_target_properties(${target} PROPERTIES EXPORT_NAME ${name})
endfunction()
