/*
 * Makes system calls of one process fail or its wall clock step, as a control file says that another process maps
 * and writes. Preloaded with LD_PRELOAD; the file is named by FAULTSHIM_CONTROL. Without it, nothing is changed.
 * The layout of struct control is also in maplerail.soak.ShimControl.
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
    volatile int32_t accept_errno;   /* of every accept while not 0 */
    volatile int32_t connect_errno;  /* of every connect to an IPv4 address */
    volatile int32_t socket_errno;   /* of every socket() for IPv4 */
    volatile int32_t read_errno;     /* of reads on sockets, as often as read_permille says */
    volatile int32_t read_permille;
    volatile int32_t short_io;       /* most bytes that a read or write on a socket takes; 0 for no limit */
    volatile int32_t eintr_permille; /* of waits that end with EINTR */
    volatile int32_t open_errno;     /* of opening a file that ends in config.json */
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

#define REAL(name) ((__typeof__(&name)) real(&real_##name, #name))

static void *real(void **known, const char *name) {
    if (*known == NULL) *known = dlsym(RTLD_NEXT, name);
    return *known;
}

/* True as often as a rate in thousandths says; which calls are hit does not matter. */
static int strikes(int32_t permille) {
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

static int fails(int error) {
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

time_t time(time_t *out) {
    time_t now = REAL(time)(NULL);
    if (control != NULL) now += control->wall_offset_ms / 1000;
    if (out != NULL) *out = now;
    return now;
}

int accept(int fd, struct sockaddr *restrict address, socklen_t *restrict length) {
    if (control != NULL && fails(control->accept_errno)) return -1;
    return REAL(accept)(fd, address, length);
}

int accept4(int fd, struct sockaddr *restrict address, socklen_t *restrict length, int flags) {
    if (control != NULL && fails(control->accept_errno)) return -1;
    return REAL(accept4)(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    if (control != NULL && domain == AF_INET && fails(control->socket_errno)) return -1;
    return REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    if (control != NULL && address->sa_family == AF_INET && fails(control->connect_errno)) return -1;
    return REAL(connect)(fd, address, length);
}

ssize_t read(int fd, void *buffer, size_t count) {
    if (control != NULL && (control->read_errno != 0 || control->short_io > 0) && is_inet_socket(fd)) {
        if (strikes(control->read_permille) && fails(control->read_errno)) return -1;
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

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    if (control != NULL && strikes(control->eintr_permille) && fails(EINTR)) return -1;
    return REAL(epoll_wait)(fd, events, most, timeout);
}

static int config_fails(const char *path) {
    size_t length = strlen(path);
    const char *end = "config.json";
    size_t end_length = strlen(end);
    return control != NULL && control->open_errno != 0 && length >= end_length
            && strcmp(path + length - end_length, end) == 0 && fails(control->open_errno);
}

#define MODE(flags) \
    mode_t mode = 0; \
    if (((flags) & O_CREAT) != 0) { \
        va_list rest; \
        va_start(rest, flags); \
        mode = va_arg(rest, mode_t); \
        va_end(rest); \
    }

int open(const char *path, int flags, ...) {
    MODE(flags)
    if (config_fails(path)) return -1;
    return REAL(open)(path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    MODE(flags)
    if (config_fails(path)) return -1;
    return REAL(open64)(path, flags, mode);
}

int openat(int folder, const char *path, int flags, ...) {
    MODE(flags)
    if (config_fails(path)) return -1;
    return REAL(openat)(folder, path, flags, mode);
}
