# Installs the packages that other projects can embed (base, net, platform, policy and cell, with their
# headers) and the two programs.
include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

foreach(package base net platform policy cell)
    install(TARGETS cranberrydock_${package} EXPORT cranberrydockTargets)
    install(DIRECTORY ${CMAKE_SOURCE_DIR}/packages/${package}/include/ DESTINATION include)
endforeach()
install(TARGETS cranberrydock cranberryctl)
install(EXPORT cranberrydockTargets NAMESPACE cranberrydock::
    DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/cranberrydock)
configure_package_config_file(${CMAKE_SOURCE_DIR}/cmake/cranberrydockConfig.cmake.in
    ${CMAKE_BINARY_DIR}/cranberrydockConfig.cmake
    INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/cranberrydock)
write_basic_package_version_file(${CMAKE_BINARY_DIR}/cranberrydockConfigVersion.cmake
    COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_BINARY_DIR}/cranberrydockConfig.cmake
    ${CMAKE_BINARY_DIR}/cranberrydockConfigVersion.cmake
    DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/cranberrydock)
