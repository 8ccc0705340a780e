/*
 * A preloaded library (LD_PRELOAD) that makes system calls of a process fail and offsets its wall clock. Another process
 * maps the control file and sets the faults in it. FAULTSHIM_CONTROL names the file; without it nothing is changed.
 * maplerail.soak.ShimControl repeats the layout of struct control.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

struct control {
    volatile int64_t wall_offset_ms;
    volatile int32_t accept_errno;   /* errno of every accept; 0 for no fault */
    volatile int32_t connect_errno;  /* errno of every connect to an IPv4 address */
    volatile int32_t socket_errno;   /* errno of every socket() for IPv4 */
    volatile int32_t read_errno;     /* errno of reads on IPv4 sockets, at the rate read_permille */
    volatile int32_t read_permille;
    volatile int32_t short_io;       /* maximum bytes of a read or write on an IPv4 socket; 0 for no limit */
    volatile int32_t eintr_permille; /* rate of epoll_wait calls that fail with EINTR */
    volatile int32_t open_errno;     /* errno of opening a file whose name ends in config.json */
};

static struct control *control;

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("FAULTSHIM_CONTROL");
    if (path == NULL) return;
    int fd = open(path, O_RDWR);
    if (fd < 0) return;
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped != MAP_FAILED) control = mapped;
}

#define REAL(name) ((__typeof__(&name)) resolve(&real_##name, #name))

/* Returns the next definition of a function after this library's, looked up once. */
static void *resolve(void **cached, const char *name) {
    if (*cached == NULL) *cached = dlsym(RTLD_NEXT, name);
    return *cached;
}

/* Returns 1 at a rate in thousandths, from a pseudo-random generator of its own in each thread. */
static int at_rate(int32_t permille) {
    static __thread uint32_t state;
    if (permille <= 0) return 0;
    if (state == 0) state = (uint32_t) (uintptr_t) &state | 1;
    state = state * 1664525u + 1013904223u;
    return (int32_t) ((state >> 8) % 1000) < permille;
}

static int is_inet_socket(int fd) {
    struct sockaddr_storage address;
    socklen_t length = sizeof address;
    return getsockname(fd, (struct sockaddr *) &address, &length) == 0 && address.ss_family == AF_INET;
}

/* Sets errno and returns 1, or returns 0 if error is 0. */
static int fail_with(int error) {
    if (error == 0) return 0;
    errno = error;
    return 1;
}

static void *real_clock_gettime, *real_gettimeofday, *real_time, *real_accept, *real_accept4, *real_socket,
        *real_connect, *real_read, *real_write, *real_epoll_wait, *real_open, *real_open64, *real_openat;

int clock_gettime(clockid_t clock, struct timespec *ts) {
    int result = REAL(clock_gettime)(clock, ts);
    if (result == 0 && control != NULL && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        ts->tv_sec += control->wall_offset_ms / 1000;
    }
    return result;
}

int gettimeofday(struct timeval *restrict tv, void *restrict zone) {
    int result = REAL(gettimeofday)(tv, zone);
    if (result == 0 && control != NULL) tv->tv_sec += control->wall_offset_ms / 1000;
    return result;
}

time_t time(time_t *result) {
    time_t now = REAL(time)(NULL);
    if (control != NULL) now += control->wall_offset_ms / 1000;
    if (result != NULL) *result = now;
    return now;
}

int accept(int fd, struct sockaddr *restrict address, socklen_t *restrict length) {
    if (control != NULL && fail_with(control->accept_errno)) return -1;
    return REAL(accept)(fd, address, length);
}

int accept4(int fd, struct sockaddr *restrict address, socklen_t *restrict length, int flags) {
    if (control != NULL && fail_with(control->accept_errno)) return -1;
    return REAL(accept4)(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    if (control != NULL && domain == AF_INET && fail_with(control->socket_errno)) return -1;
    return REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    if (control != NULL && address->sa_family == AF_INET && fail_with(control->connect_errno)) return -1;
    return REAL(connect)(fd, address, length);
}

ssize_t read(int fd, void *buffer, size_t count) {
    if (control != NULL && (control->read_errno != 0 || control->short_io > 0) && is_inet_socket(fd)) {
        if (at_rate(control->read_permille) && fail_with(control->read_errno)) return -1;
        if (control->short_io > 0 && count > (size_t) control->short_io) count = (size_t) control->short_io;
    }
    return REAL(read)(fd, buffer, count);
}

ssize_t write(int fd, const void *buffer, size_t count) {
    if (control != NULL && control->short_io > 0 && count > (size_t) control->short_io && is_inet_socket(fd)) {
        count = (size_t) control->short_io;
    }
    return REAL(write)(fd, buffer, count);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    if (control != NULL && at_rate(control->eintr_permille) && fail_with(EINTR)) return -1;
    return REAL(epoll_wait)(fd, events, max_events, timeout);
}

static int fail_config_open(const char *path) {
    size_t length = strlen(path);
    const char *suffix = "config.json";
    size_t suffix_length = strlen(suffix);
    return control != NULL && control->open_errno != 0 && length >= suffix_length
            && strcmp(path + length - suffix_length, suffix) == 0 && fail_with(control->open_errno);
}

/* Declares mode, read from the variable arguments if flags contain O_CREAT. */
#define READ_MODE(flags) \
    mode_t mode = 0; \
    if (((flags) & O_CREAT) != 0) { \
        va_list rest; \
        va_start(rest, flags); \
        mode = va_arg(rest, mode_t); \
        va_end(rest); \
    }

int open(const char *path, int flags, ...) {
    READ_MODE(flags)
    if (fail_config_open(path)) return -1;
    return REAL(open)(path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    READ_MODE(flags)
    if (fail_config_open(path)) return -1;
    return REAL(open64)(path, flags, mode);
}

int openat(int directory, const char *path, int flags, ...) {
    READ_MODE(flags)
    if (fail_config_open(path)) return -1;
    return REAL(openat)(directory, path, flags, mode);
}
