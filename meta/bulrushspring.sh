#!/usr/bin/env bash
# The project's development commands. Run without an argument for the list.
set -euo pipefail

top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${BULRUSHSPRING_BUILD:-$top/build}
jobs=${BULRUSHSPRING_JOBS:-$(nproc)}
packages=(
    g++ cmake ninja-build pkg-config clang-format clang-tidy
    libevent-dev libcereal-dev libboost-dev libboost-test-dev
    libgoogle-glog-dev libgflags-dev libabsl-dev librapidcheck-dev
    libxxhash-dev libzstd-dev nlohmann-json3-dev libbenchmark-dev curl
)

usage() {
    cat <<TEXT
usage: meta/bulrushspring.sh COMMAND
  packages  install the Debian packages that the build and the tests require
  build     configure and build everything but the benchmarks
  test      install packages, build, and run the tests
  lint      check formatting and run the linter
  format    rewrite the sources in the project's format
  demo      run platform, leafs and daemons on loopback and check them end to end
  bench     build and run the benchmarks
  ci        lint and test, as .ci/run does
TEXT
}

install_packages() {
    if dpkg-query -W -f '${Status}\n' "${packages[@]}" 2>/dev/null |
        awk '/install ok installed/ {n++} END {exit n == '"${#packages[@]}"' ? 0 : 1}'; then
        return
    fi
    apt-get update -q
    DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${packages[@]}"
}

build_all() {
    cmake -S "$top" -B "$build" -G Ninja >"$build.configure.log" 2>&1 ||
        { cat "$build.configure.log"; return 1; }
    cmake --build "$build" -j "$jobs"
}

# The known failures, which CMakeLists.txt excludes from the tests.
print_known_red() {
    if [ -s "$top/KNOWN-RED.txt" ]; then
        echo "Passed over, known to fail (KNOWN-RED.txt):"
        cat "$top/KNOWN-RED.txt"
    fi
}

run_tests() {
    print_known_red
    ctest --test-dir "$build" --output-on-failure -j "$jobs"
}

sources() {
    git -C "$top" ls-files --cached --others --exclude-standard \
        '*.cpp' '*.hpp' | while read -r file; do
        [ -e "$top/$file" ] && printf '%s\n' "$top/$file"
    done
}

# Names of the platform's wire protocol, which may occur only in platform/,
# tests/ and fakes/.
platform_wire_names='Part-Stamps|Missing-Parts|Server-Seal|Target-Instance|Not-Executed|Attempt-Id|"Deadline-Ms|kv-watch|kv-range|kv-key|coldRemainingMs|minCoverage|maxAttempts|topK|trafficSplit|storeRevision'

check_platform_names() {
    if git -C "$top" grep -nE "$platform_wire_names" -- '*.cpp' '*.hpp' |
        grep -vE '^(platform|tests|fakes)/'; then
        echo "a wire name of the platform is used outside platform/, tests/ and fakes/" >&2
        return 1
    fi
}

lint() {
    check_platform_names
    sources | xargs clang-format --dry-run --Werror
    build_all
    sources | grep '\.cpp$' |
        xargs -P "$jobs" -n 1 clang-tidy --quiet -p "$build" 2>/dev/null
}

case "${1:-}" in
packages) install_packages ;;
build) build_all ;;
test) install_packages; build_all; run_tests ;;
lint) lint ;;
format) sources | xargs clang-format -i ;;
demo) install_packages; build_all >/dev/null; BUILD=$build exec bash "$top/meta/demo.sh" ;;
bench) build_all; BUILD=$build exec bash "$top/meta/bench.sh" ;;
ci) install_packages; lint; run_tests ;;
*) usage; [ "${1:-}" = --help ] || exit 2 ;;
esac
