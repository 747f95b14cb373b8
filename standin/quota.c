/*
** quota.c
** Stand-in for machines with a share of a processor
**
**   standin-quota RUN-US PERIOD-MS PID...
**
** Each process may use RUN-US microseconds of processor time in each period.
** Once it has used that, it is stopped until its period ends, as by a quota of
** the kernel's scheduler. The periods of the processes begin at different
** moments. Ends when none of the processes is left.
*/

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define NS_PER_US 1000LL
#define NS_PER_MS 1000000LL
#define NS_PER_S 1000000000LL
/* how often the processor time is looked at */
#define LOOK_INTERVAL_NS (NS_PER_MS / 2)
#define MAX_PROCESSES 32

typedef struct Process {
  pid_t pid;
  clockid_t clock;      /* of its processor time */
  long long used;       /* its processor time when its period began, in ns */
  long long period_end; /* in ns */
  int is_stopped;
} Process;

static long long read_clock(clockid_t clock) {
  struct timespec time;
  if (clock_gettime(clock, &time) != 0)
    return -1;
  return time.tv_sec * NS_PER_S + time.tv_nsec;
}

static void stop(Process *process) {
  kill(process->pid, SIGSTOP);
  process->is_stopped = 1;
}

static void begin_period(Process *process, long long used, long long end) {
  process->used = used;
  process->period_end = end;
  if (process->is_stopped)
    kill(process->pid, SIGCONT);
  process->is_stopped = 0;
}

/* Returns 0 once the process has ended. */
static int look(Process *process, long long run, long long period) {
  long long now = read_clock(CLOCK_MONOTONIC);
  long long used = read_clock(process->clock);
  if (used < 0 || kill(process->pid, 0) != 0)
    return 0;
  if (now >= process->period_end)
    begin_period(process, used, process->period_end + period);
  else if (!process->is_stopped && used - process->used >= run)
    stop(process);
  return 1;
}

int main(int argc, char **argv) {
  static Process all[MAX_PROCESSES];
  const struct timespec interval = {0, LOOK_INTERVAL_NS};
  int count = argc - 3;
  int left = count;
  long long run;
  long long period;
  int i;
  if (count < 1 || count > MAX_PROCESSES) {
    fprintf(stderr, "usage: standin-quota RUN-US PERIOD-MS PID...\n");
    return 2;
  }
  run = atoll(argv[1]) * NS_PER_US;
  period = atoll(argv[2]) * NS_PER_MS;
  for (i = 0; i < count; i++) {
    all[i].pid = (pid_t)atol(argv[i + 3]);
    if (clock_getcpuclockid(all[i].pid, &all[i].clock) != 0)
      return 1;
    all[i].used = read_clock(all[i].clock);
    all[i].period_end = read_clock(CLOCK_MONOTONIC) + period * (i + 1) / count;
  }
  while (left > 0) {
    left = 0;
    for (i = 0; i < count; i++)
      left += look(&all[i], run, period);
    nanosleep(&interval, NULL);
  }
  return 0;
}
