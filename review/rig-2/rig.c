#include "rig.h"

#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define FRONT_PORT 18641
#define READY_PORT 18640
#define CONTROL_PORT 18649
#define DIRECTORY_PORT 18644
#define STORE_PORT 18642
#define READY_TIMEOUT_MS 15000
#define MAX_WORDS 64
#define WORD_BYTES 1024

static int64_t start_ns;
static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char work_folder[64];
static int net;
static pid_t processes[RIG_MAX_MACHINES];
static char fronts[RIG_MAX_MACHINES][64];

static int64_t
read_clock_ns(void)
{
    struct timespec time;
    clock_gettime(CLOCK_MONOTONIC, &time);
    return (int64_t)time.tv_sec * 1000000000 + time.tv_nsec;
}

/* Returns the time since the start of the case. */
int64_t
rig_now_ms(void)
{
    return (read_clock_ns() - start_ns) / 1000000;
}

void
rig_sleep_ms(int64_t duration_ms)
{
    struct timespec left = {.tv_sec = duration_ms / 1000,
                            .tv_nsec = duration_ms % 1000 * 1000000};
    if (duration_ms > 0) {
        nanosleep(&left, NULL);
    }
}

void
rig_sleep_until(int64_t at_ms)
{
    rig_sleep_ms(at_ms - rig_now_ms());
}

/* Adds a line to the record. */
void
rig_record(const char *format, ...)
{
    va_list arguments;
    pthread_mutex_lock(&record_lock);
    if (record != NULL) {
        fprintf(record, "%9.3f ", (double)rig_now_ms() / 1000);
        va_start(arguments, format);
        vfprintf(record, format, arguments);
        va_end(arguments);
        fputc('\n', record);
        fflush(record);
    }
    pthread_mutex_unlock(&record_lock);
}

/* Returns whether the disruption of the case takes place. */
bool
rig_trouble(void)
{
    const char *text = getenv("TROUBLE");
    return text == NULL || strcmp(text, "0") != 0;
}

/* Returns the third number of the addresses of this run. */
int
rig_net(void)
{
    return net;
}

/* Ends the case because it cannot run. */
_Noreturn void
rig_give_up(const char *reason)
{
    rig_record("the case cannot run: %s", reason);
    _exit(rig_end(RIG_NOT_RUN));
}

/* Runs a function in a thread of its own. */
void
rig_spawn(void *(*run)(void *), void *data)
{
    pthread_t thread;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, (size_t)256 * 1024);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    if (pthread_create(&thread, &attributes, run, data) != 0) {
        rig_give_up("no thread can be started");
    }
    pthread_attr_destroy(&attributes);
}

/* Finds addresses that are not in use. */
static bool
choose_net(void)
{
    for (int i = 0; i < 250; i++) {
        char ip[32];
        int candidate = 1 + (int)((getpid() + i) % 250);
        snprintf(ip, sizeof(ip), "127.77.%d.1", candidate);
        int listener = rig_listen(ip, FRONT_PORT);
        if (listener >= 0) {
            close(listener);
            net = candidate;
            return true;
        }
    }
    return false;
}

/* Starts a case. */
void
rig_start(const char *name, const char *record_path)
{
    start_ns = read_clock_ns();
    signal(SIGPIPE, SIG_IGN);
    record = fopen(record_path, "we");
    snprintf(work_folder, sizeof(work_folder), "/tmp/review-XXXXXX");
    if (record == NULL || mkdtemp(work_folder) == NULL || !choose_net()) {
        fprintf(stderr, "%s: no record, folder or address\n", name);
        _exit(RIG_NOT_RUN);
    }
    rig_record("%s, with%s the disruption", name, rig_trouble() ? "" : "out");
}

static void
end_process(int machine)
{
    int status = 0;
    if (waitpid(processes[machine], &status, WNOHANG) == processes[machine]) {
        rig_record("machine %d ended by itself with status %d", machine + 1,
                   status);
    }
    else {
        kill(processes[machine], SIGKILL);
        waitpid(processes[machine], NULL, 0);
    }
    processes[machine] = 0;
}

/* Sends SIGTERM to the process of a machine. */
void
rig_machine_stop(int machine)
{
    kill(processes[machine], SIGTERM);
    rig_record("machine %d gets SIGTERM", machine + 1);
}

/* Ends all processes of the case and returns its exit code. */
int
rig_end(int code)
{
    for (int i = 0; i < RIG_MAX_MACHINES; i++) {
        char log[128];
        if (processes[i] > 0) {
            end_process(i);
        }
        snprintf(log, sizeof(log), "%s/%d.log", work_folder, i + 1);
        if (getenv("KEEP_LOGS") == NULL) {
            unlink(log);
        }
    }
    rmdir(work_folder);
    rig_record("exit code %d", code);
    return code;
}

/* Writes the value of a placeholder of the run line; none if the deployment
 * does not have it. */
static void
write_value(FILE *out, const char *name, int machine, int seeds)
{
    static const struct {
        const char *name;
        const char *value;
    } values[] = {
        {"zone", "baguio"},
        {"limits.cpuShare", "0.2"},
        {"bounds.ttl_max", "5s"},
        {"bounds.grace", "6s"},
        {"bounds.retryBudgetRatio", "0.2"},
        {"bounds.retryBudgetSlack", "58"},
        {"bounds.budgetWindow", "10s"},
        {"bounds.probesPerS", "60"},
    };
    static const struct {
        const char *name;
        int port;
    } listeners[] = {
        {"listen.front", FRONT_PORT},
        {"listen.readiness", READY_PORT},
        {"listen.control", CONTROL_PORT},
        {"listen.directory", DIRECTORY_PORT},
    };
    for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
        if (strcmp(name, values[i].name) == 0) {
            fputs(values[i].value, out);
        }
    }
    for (size_t i = 0; i < sizeof(listeners) / sizeof(listeners[0]); i++) {
        if (strcmp(name, listeners[i].name) == 0) {
            fprintf(out, "127.77.%d.%d:%d", net, machine + 1,
                    listeners[i].port);
        }
    }
    if (strcmp(name, "nodeName") == 0) {
        fprintf(out, "front-baguio-%d", machine + 1);
    }
    if (strcmp(name, "ip") == 0) {
        fprintf(out, "127.77.%d.%d", net, machine + 1);
    }
    if (strcmp(name, "platform.address") == 0) {
        fprintf(out, "127.79.%d.%d:%d", net, machine + 1, STORE_PORT);
    }
    for (int i = 0; strcmp(name, "seeds") == 0 && i < seeds; i++) {
        fprintf(out, "%s127.77.%d.%d:%d", i == 0 ? "" : ",", net, i + 1,
                CONTROL_PORT);
    }
}

/* Reads the run line of the deploy file. */
static void
read_run_line(char *line, int size)
{
    static const char begin[] = "run = \"";
    FILE *file = fopen("deploy/system.toml", "re");
    while (file != NULL && fgets(line, size, file) != NULL) {
        char *end = strrchr(line, '"');
        if (strncmp(line, begin, strlen(begin)) == 0 && end != NULL) {
            *end = '\0';
            memmove(line, line + strlen(begin),
                    strlen(line + strlen(begin)) + 1);
            fclose(file);
            return;
        }
    }
    rig_give_up("deploy/system.toml has no run line; start this in the "
                "repository");
}

/* Fills in the placeholders of a word. */
static char *
fill_in(char *word, int machine, int seeds)
{
    char *filled = NULL;
    size_t bytes = 0;
    FILE *out = open_memstream(&filled, &bytes);
    char *begin = strstr(word, "{{");
    while (begin != NULL) {
        char *end = strstr(begin, "}}");
        if (end == NULL) {
            break;
        }
        *begin = '\0';
        *end = '\0';
        fputs(word, out);
        write_value(out, begin + 2, machine, seeds);
        word = end + 2;
        begin = strstr(word, "{{");
    }
    fputs(word, out);
    fclose(out);
    return filled;
}

static void
run_process(char **words, const char *log, pid_t parent)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int output = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (getppid() == parent && output >= 0 && words[0] != NULL) {
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execv(words[0], words);
    }
    _exit(127);
}

/* Starts the process of a machine with the run line of the deploy file. The
 * first machines are the seeds. */
void
rig_machine_start(int machine, int seeds)
{
    char line[8192];
    char log[128];
    char *words[MAX_WORDS] = {NULL};
    char *rest = NULL;
    int count = 0;
    read_run_line(line, sizeof(line));
    for (char *word = strtok_r(line, " ", &rest);
         word != NULL && count < MAX_WORDS - 1;
         word = strtok_r(NULL, " ", &rest))
    {
        words[count++] = fill_in(word, machine, seeds);
    }
    rig_store_open(machine);
    snprintf(log, sizeof(log), "%s/%d.log", work_folder, machine + 1);
    snprintf(fronts[machine], sizeof(fronts[machine]), "127.77.%d.%d:%d", net,
             machine + 1, FRONT_PORT);
    pid_t parent = getpid();
    processes[machine] = fork();
    if (processes[machine] == 0) {
        run_process(words, log, parent);
    }
    for (int i = 0; i < count; i++) {
        free(words[i]);
    }
    rig_record("machine %d starts with its front at %s", machine + 1,
               fronts[machine]);
}

/* Returns the address of a machine for clients. */
const char *
rig_front(int machine)
{
    return fronts[machine];
}

/* Waits until all machines say that they are ready. */
void
rig_await_ready(int machines)
{
    int64_t end_ms = rig_now_ms() + READY_TIMEOUT_MS;
    for (int i = 0; i < machines; i++) {
        char address[64];
        struct rig_reply reply = {0};
        snprintf(address, sizeof(address), "127.77.%d.%d:%d", net, i + 1,
                 READY_PORT);
        while (reply.status != 200) {
            if (rig_now_ms() > end_ms) {
                rig_give_up("a machine is not ready in time");
            }
            rig_sleep_ms(50);
            rig_call(address, "ready", "/v1/ready", "ready", 500, &reply);
        }
    }
    rig_record("%d machines are ready", machines);
}
