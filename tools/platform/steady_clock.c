/* Leaves time out of CLOCK_MONOTONIC, as a suspended machine does.
 *
 * Preloaded into a process under test. The file that LEADSEAM_LEFT_OUT names holds, as
 * eight bytes in the machine's order, the nanoseconds left out so far. CLOCK_BOOTTIME
 * and the time of day stay as they are. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#define NANOS 1000000000LL

static int (*real)(clockid_t, struct timespec *);
static int left_out_fd = -1;

__attribute__((constructor)) static void open_file(void) {
    const char *path = getenv("LEADSEAM_LEFT_OUT");
    real = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT, "clock_gettime");
    if (path != NULL)
        left_out_fd = open(path, O_RDONLY | O_CLOEXEC);
}

int clock_gettime(clockid_t clock, struct timespec *at) {
    int64_t left_out = 0;
    if (real == NULL)
        open_file();
    int result = real(clock, at);
    if (result != 0 || left_out_fd < 0)
        return result;
    if (clock != CLOCK_MONOTONIC && clock != CLOCK_MONOTONIC_COARSE)
        return result;
    if (pread(left_out_fd, &left_out, sizeof left_out, 0) != sizeof left_out)
        return result;
    int64_t nanos = at->tv_sec * NANOS + at->tv_nsec - left_out;
    at->tv_sec = nanos / NANOS;
    at->tv_nsec = nanos % NANOS;
    return result;
}
