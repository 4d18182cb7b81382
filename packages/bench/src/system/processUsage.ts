/**
 * @fileoverview Reads processor time and memory of other processes from /proc.
 */
import {readFile} from 'node:fs/promises';

/** Clock ticks per second in /proc: USER_HZ, 100 on common Linux systems. */
const ticksPerSecond = 100;

/** Fields of /proc/PID/stat, counted after the command name. */
const userTimeField = 11;
const systemTimeField = 12;

/** Returns the processor time used so far in seconds. */
export async function processorSeconds(pid: number): Promise<number> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[userTimeField]) + Number(fields[systemTimeField]);
  return ticks / ticksPerSecond;
}

/** Returns the resident memory in megabytes. */
export async function residentMegabytes(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const kilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return kilobytes / 1024;
}
