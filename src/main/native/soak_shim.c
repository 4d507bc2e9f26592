/*
 * Replaces functions of the C library in a relay's process so that the fault soak can let system calls fail.
 * LD_PRELOAD loads it. The environment variable SOAK_SHIM names the control file, an array of 32-bit words
 * that the soak maps too and changes while the process runs. Without that file no call fails.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
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

/*
 * Indexes of the words in the control file, in the same order as in Shim.java. A word *_COUNT is the number
 * of calls that are still to be affected: each of them decrements it.
 */
enum {
    WALL_STEP_S,   /* seconds added to the wall clock, may be negative */
    ACCEPT_ERRNO,  /* error of the next ACCEPT_COUNT calls of accept and accept4 */
    ACCEPT_COUNT,
    CONNECT_ERRNO, /* error of the next CONNECT_COUNT calls of connect, except to Unix sockets */
    CONNECT_COUNT,
    SOCKET_ERRNO,  /* error of the next SOCKET_COUNT calls of socket for IPv4 and IPv6 */
    SOCKET_COUNT,
    FILE_ERRNO,    /* error of all writes to files of the state folder; 0 for none */
    FILE_HALF,     /* not 0: write, but not pwrite64, writes half of the bytes before it fails */
    SHORT_IO,      /* not 0: reads of sockets return at most 16 bytes, writes take only part of theirs */
    EINTR_COUNT,   /* the next calls of epoll_wait fail with EINTR */
    PAUSE_MS,      /* delay of the next PAUSE_COUNT writes to sockets */
    PAUSE_COUNT,
    READ_ERRNO,    /* error of the next READ_COUNT reads of sockets */
    READ_COUNT,
    FAILED_READS,  /* number of reads of connected sockets that have failed, which FAILED_READ_LOG lists */
    FAILED_READ_LOG,
    WORDS = FAILED_READ_LOG + 2 * 4096
};

/* Used in place of the control file if there is none. */
static atomic_int no_faults[WORDS];
static atomic_int *control = no_faults;
/* Path of the state folder, or NULL. */
static const char *state_folder;

__attribute__((constructor)) static void map_control_file(void)
{
    const char *path = getenv("SOAK_SHIM");
    int fd;
    void *map;

    state_folder = getenv("EDGE_STATE");
    if (path == NULL || (fd = open(path, O_RDWR)) < 0)
        return;
    map = mmap(NULL, WORDS * sizeof(atomic_int), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    if (map != MAP_FAILED)
        control = map;
    close(fd);
}

/* Declares the pointer real and looks up the C library's function at the first call. */
#define REAL(name) \
    static __typeof__(name) *real; \
    if (real == NULL) \
        real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)

/* Decrements a count, also from several threads; true unless it was 0. */
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

/* True for a regular file in the state folder. */
static int is_state_file(int fd)
{
    char link[64], path[4096];
    struct stat st;
    ssize_t length;

    if (state_folder == NULL || fstat(fd, &st) != 0 || !S_ISREG(st.st_mode))
        return 0;
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    length = readlink(link, path, sizeof path - 1);
    if (length <= 0)
        return 0;
    path[length] = 0;
    return strncmp(path, state_folder, strlen(state_folder)) == 0;
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

time_t time(time_t *seconds)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    if (seconds != NULL)
        *seconds = now.tv_sec;
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

/* Delays a write to a socket while PAUSE_COUNT is not used up. */
static void pause_before_write(int fd)
{
    if (atomic_load(&control[PAUSE_COUNT]) > 0 && is_socket(fd) && take(PAUSE_COUNT))
        usleep(1000 * (useconds_t)atomic_load(&control[PAUSE_MS]));
}

ssize_t write(int fd, const void *bytes, size_t count)
{
    REAL(write);
    int error = atomic_load(&control[FILE_ERRNO]);

    if (error != 0 && is_state_file(fd)) {
        if (atomic_load(&control[FILE_HALF]) != 0 && count > 1)
            return real(fd, bytes, count / 2) < 0 ? -1 : (errno = error, -1);
        errno = error;
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
    int error = atomic_load(&control[FILE_ERRNO]);

    if (error != 0 && is_state_file(fd)) {
        errno = error;
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

/* Adds to the log the peer's port, and the time on the monotonic clock in ms, of a read that fails. */
static void log_failed_read(int fd)
{
    REAL(clock_gettime);
    struct sockaddr_in6 peer;
    socklen_t length = sizeof peer;
    struct timespec now;
    int entry;

    /* In addresses of IPv4 and IPv6 the port is at the same place. */
    if (getpeername(fd, (struct sockaddr *)&peer, &length) != 0)
        return;
    real(CLOCK_MONOTONIC, &now);
    entry = FAILED_READ_LOG + 2 * atomic_fetch_add(&control[FAILED_READS], 1);
    if (entry + 1 < WORDS) {
        atomic_store(&control[entry], ntohs(peer.sin6_port));
        atomic_store(&control[entry + 1], (int)(unsigned)(now.tv_sec * 1000L + now.tv_nsec / 1000000));
    }
}

ssize_t read(int fd, void *buffer, size_t count)
{
    REAL(read);

    if (atomic_load(&control[READ_COUNT]) > 0 && is_socket(fd) && take(READ_COUNT)) {
        log_failed_read(fd);
        errno = atomic_load(&control[READ_ERRNO]);
        return -1;
    }
    if (atomic_load(&control[SHORT_IO]) != 0 && count > 16 && is_socket(fd))
        count = 16;
    return real(fd, buffer, count);
}

/* Declared here, since sys/epoll.h is not included. */
struct epoll_event;

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout)
{
    static int (*real)(int, struct epoll_event *, int, int);

    if (real == NULL)
        real = (int (*)(int, struct epoll_event *, int, int))dlsym(RTLD_NEXT, "epoll_wait");
    if (take(EINTR_COUNT)) {
        errno = EINTR;
        return -1;
    }
    return real(fd, events, max_events, timeout);
}
