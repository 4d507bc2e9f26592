/*
 * System calls that fail on demand, for the soak: loaded into a relay's process by LD_PRELOAD. What is to
 * fail stands in a small file, SOAK_SHIM, that the soak maps as well and changes while the process runs.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* The order of the words in the file; Shim.java has the same. */
enum {
    WALL_STEP_S, ACCEPT_ERRNO, ACCEPT_COUNT, CONNECT_ERRNO, CONNECT_COUNT, SOCKET_ERRNO, SOCKET_COUNT,
    FILE_ERRNO, FILE_HALF, SHORT_IO, EINTR_COUNT, PAUSE_MS, PAUSE_COUNT, READ_ERRNO, READ_COUNT, WORDS
};

static atomic_int none[WORDS];
static atomic_int *control = none;
static const char *state;

__attribute__((constructor)) static void begin(void)
{
    const char *path = getenv("SOAK_SHIM");
    int fd;
    void *map;

    state = getenv("EDGE_STATE");
    if (path == NULL || (fd = open(path, O_RDWR)) < 0)
        return;
    map = mmap(NULL, WORDS * sizeof(atomic_int), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    if (map != MAP_FAILED)
        control = map;
    close(fd);
}

#define REAL(name) \
    static __typeof__(name) *real; \
    if (real == NULL) \
        real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)

/* Takes one from a count; true if there was one. */
static int take(int word)
{
    int left = atomic_load(&control[word]);

    while (left > 0)
        if (atomic_compare_exchange_weak(&control[word], &left, left - 1))
            return 1;
    return 0;
}

static int is_socket(int fd)
{
    struct stat st;
    return fstat(fd, &st) == 0 && S_ISSOCK(st.st_mode);
}

/* True for a file of the lasting folder. */
static int is_lasting(int fd)
{
    char link[64], path[4096];
    struct stat st;
    ssize_t length;

    if (state == NULL || fstat(fd, &st) != 0 || !S_ISREG(st.st_mode))
        return 0;
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    length = readlink(link, path, sizeof path - 1);
    if (length <= 0)
        return 0;
    path[length] = 0;
    return strncmp(path, state, strlen(state)) == 0;
}

int clock_gettime(clockid_t clock, struct timespec *now)
{
    REAL(clock_gettime);
    int result = real(clock, now);

    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
        now->tv_sec += atomic_load(&control[WALL_STEP_S]);
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone)
{
    REAL(gettimeofday);
    int result = real(now, zone);

    if (result == 0)
        now->tv_sec += atomic_load(&control[WALL_STEP_S]);
    return result;
}

time_t time(time_t *into)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    if (into != NULL)
        *into = now.tv_sec;
    return now.tv_sec;
}

int accept(int fd, struct sockaddr *restrict address, socklen_t *restrict length)
{
    REAL(accept);

    if (atomic_load(&control[ACCEPT_COUNT]) > 0 && take(ACCEPT_COUNT)) {
        errno = atomic_load(&control[ACCEPT_ERRNO]);
        return -1;
    }
    return real(fd, address, length);
}

int accept4(int fd, struct sockaddr *restrict address, socklen_t *restrict length, int flags)
{
    REAL(accept4);

    if (atomic_load(&control[ACCEPT_COUNT]) > 0 && take(ACCEPT_COUNT)) {
        errno = atomic_load(&control[ACCEPT_ERRNO]);
        return -1;
    }
    return real(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    REAL(connect);

    if (address->sa_family != AF_UNIX && take(CONNECT_COUNT)) {
        errno = atomic_load(&control[CONNECT_ERRNO]);
        return -1;
    }
    return real(fd, address, length);
}

int socket(int domain, int type, int protocol)
{
    REAL(socket);

    if ((domain == AF_INET || domain == AF_INET6) && take(SOCKET_COUNT)) {
        errno = atomic_load(&control[SOCKET_ERRNO]);
        return -1;
    }
    return real(domain, type, protocol);
}

static void pause_before_write(int fd)
{
    if (atomic_load(&control[PAUSE_COUNT]) > 0 && is_socket(fd) && take(PAUSE_COUNT))
        usleep(1000 * (useconds_t)atomic_load(&control[PAUSE_MS]));
}

ssize_t write(int fd, const void *bytes, size_t count)
{
    REAL(write);
    int fails = atomic_load(&control[FILE_ERRNO]);

    if (fails != 0 && is_lasting(fd)) {
        if (atomic_load(&control[FILE_HALF]) != 0 && count > 1)
            return real(fd, bytes, count / 2) < 0 ? -1 : (errno = fails, -1);
        errno = fails;
        return -1;
    }
    pause_before_write(fd);
    if (atomic_load(&control[SHORT_IO]) != 0 && count > 1 && is_socket(fd))
        count = count / 2;
    return real(fd, bytes, count);
}

ssize_t pwrite64(int fd, const void *bytes, size_t count, off64_t offset)
{
    REAL(pwrite64);
    int fails = atomic_load(&control[FILE_ERRNO]);

    if (fails != 0 && is_lasting(fd)) {
        errno = fails;
        return -1;
    }
    return real(fd, bytes, count, offset);
}

ssize_t writev(int fd, const struct iovec *parts, int count)
{
    REAL(writev);

    pause_before_write(fd);
    if (atomic_load(&control[SHORT_IO]) != 0 && count > 1 && is_socket(fd))
        count = 1;
    return real(fd, parts, count);
}

ssize_t read(int fd, void *into, size_t count)
{
    REAL(read);

    if (atomic_load(&control[READ_COUNT]) > 0 && is_socket(fd) && take(READ_COUNT)) {
        errno = atomic_load(&control[READ_ERRNO]);
        return -1;
    }
    if (atomic_load(&control[SHORT_IO]) != 0 && count > 16 && is_socket(fd))
        count = 16;
    return real(fd, into, count);
}

struct epoll_event;

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout)
{
    static int (*real)(int, struct epoll_event *, int, int);

    if (real == NULL)
        real = (int (*)(int, struct epoll_event *, int, int))dlsym(RTLD_NEXT, "epoll_wait");
    if (take(EINTR_COUNT)) {
        errno = EINTR;
        return -1;
    }
    return real(fd, events, most, timeout);
}
