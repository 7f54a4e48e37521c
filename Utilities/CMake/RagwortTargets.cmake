# With RAGWORT_PRECOMPILE, compiles the headers that most files include once per
# target. It makes a whole build faster and a rebuild of few files slower, and
# clang-tidy cannot read GCC's form, so it is meant for the sanitizer build.
function(ragwort_precompile aTarget)
  if(RAGWORT_PRECOMPILE)
    target_precompile_headers(${aTarget} PRIVATE
      <algorithm> <chrono> <functional> <map> <memory> <optional> <string>
      <variant> <vector> <msgpack.hpp> <QJsonDocument> <QJsonObject> <QObject>)
    # ccache must see that the precompiled header is used.
    target_compile_options(${aTarget} PRIVATE -fpch-preprocess)
  endif()
endfunction()

# ragwort_library(<Part> <links>...) builds Source/<Part>/*.cxx as one static
# library named Ragwort<Part>.
function(ragwort_library aPart)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cxx)
  if(sources)
    add_library(Ragwort${aPart} STATIC ${sources})
    target_link_libraries(Ragwort${aPart} PUBLIC ${ARGN})
    ragwort_precompile(Ragwort${aPart})
  else()
    add_library(Ragwort${aPart} INTERFACE)
    target_link_libraries(Ragwort${aPart} INTERFACE ${ARGN})
  endif()
endfunction()

# ragwort_test(<Part> <links>...) builds the *.cxx files of the current
# directory as the CppUnit runner test-<part> and registers it with CTest.
function(ragwort_test aPart)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cxx)
  string(TOLOWER ${aPart} part)
  add_executable(test-${part} ${sources})
  target_link_libraries(test-${part} PRIVATE RagwortTestSupport ${ARGN})
  ragwort_precompile(test-${part})
  add_dependencies(tests test-${part})
  add_test(NAME ${aPart} COMMAND test-${part})
  # Ends a hang only; sanitized tests beside other work take minutes.
  set_tests_properties(${aPart} PROPERTIES TIMEOUT 1800)
endfunction()

# ragwort_program(<name> <file> <links>...) builds one binary from one main
# file.
function(ragwort_program aName aFile)
  add_executable(${aName} ${aFile})
  target_link_libraries(${aName} PRIVATE ${ARGN})
  target_compile_definitions(${aName} PRIVATE
    RAGWORT_VERSION="${PROJECT_VERSION}")
endfunction()
