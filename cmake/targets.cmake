# Helpers that give every target the same warnings and include path.

# Adds a static library from all sources below DIRECTORY.
function(masticgap_library NAME DIRECTORY)
  file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS ${DIRECTORY}/*.cpp)
  list(FILTER SOURCES EXCLUDE REGEX "/main\\.cpp$")
  if(SOURCES)
    add_library(${NAME} STATIC ${SOURCES})
    target_include_directories(${NAME} PUBLIC $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/src>
                                              $<INSTALL_INTERFACE:include>)
    target_link_libraries(${NAME} PRIVATE $<BUILD_INTERFACE:masticgap_options>)
  else()
    add_library(${NAME} INTERFACE)
    target_include_directories(${NAME} INTERFACE $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/src>
                                                 $<INSTALL_INTERFACE:include>)
  endif()
endfunction()

# Links NAME with LIBRARIES, whether NAME has sources yet or not.
function(masticgap_link NAME)
  get_target_property(TYPE ${NAME} TYPE)
  if(TYPE STREQUAL INTERFACE_LIBRARY)
    target_link_libraries(${NAME} INTERFACE ${ARGN})
  else()
    target_link_libraries(${NAME} PUBLIC ${ARGN})
  endif()
endfunction()

# Adds a program from DIRECTORY/main.cpp and a library NAME_lib from the other sources there.
function(masticgap_program NAME DIRECTORY)
  if(NOT EXISTS ${DIRECTORY}/main.cpp)
    return()
  endif()
  masticgap_library(${NAME}_lib ${DIRECTORY})
  masticgap_link(${NAME}_lib masticgap_transport)
  add_executable(${NAME} ${DIRECTORY}/main.cpp)
  target_link_libraries(${NAME} PRIVATE ${NAME}_lib masticgap_options)
  set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
