/**
 * @fileoverview Identifies the machine's monotonic clock, which restarts with
 * each boot, so that only readings of the same clock are compared.
 */
import {readFileSync} from 'node:fs';

/** Holds an id that Linux generates at each boot. */
const bootIdFile = '/proc/sys/kernel/random/boot_id';

/** Returns the boot id, or an empty string if the system has none. */
export function monotonicClockId(): string {
  try {
    return readFileSync(bootIdFile, 'utf8').trim();
  } catch {
    return ''; // Readings that decrease still reveal a reboot.
  }
}
