/**
 * @fileoverview Names the machine's steady clock, which starts anew with each
 * boot, so that readings of two processes are compared only on one clock.
 */
import {readFileSync} from 'node:fs';

/** Changes with each boot of a Linux machine. */
const bootIdFile = '/proc/sys/kernel/random/boot_id';

/** Returns the name; empty where the system has none. */
export function monotonicClockId(): string {
  try {
    return readFileSync(bootIdFile, 'utf8').trim();
  } catch {
    return ''; // Readings that go back still show another boot.
  }
}
