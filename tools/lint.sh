#!/usr/bin/env bash
# Checks format and lint of the sources. With --format-only, skips clang-tidy. Needs a configured release preset.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard -- '*.h' '*.cpp' ':!gen')
clang-format --dry-run -Werror "${files[@]}"
echo "format: ${#files[@]} files clean"
[ "${1:-}" != --format-only ] || exit 0
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cpp$')
# Clang 14 has coroutines without the macros by which Boost.Asio 1.74 and libstdc++ look for them.
coroutines=(--extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT
            --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE)
printf '%s\n' "${sources[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build/release "${coroutines[@]}" 2> /dev/null
echo "lint: ${#sources[@]} files clean"
