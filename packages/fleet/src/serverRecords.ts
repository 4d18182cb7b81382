/**
 * @fileoverview Order of the records of one backend server.
 */
import {type BackendServerRecord} from '@dogwoodtrestle/schema';

/**
 * Whether a record replaces the known one with the same id. Departures have no
 * sequence: they come after all other records of their incarnation.
 */
export function isNewerRecord(
  record: BackendServerRecord,
  known: BackendServerRecord,
): boolean {
  if (record.startedAt !== known.startedAt) {
    return record.startedAt > known.startedAt;
  }
  if (known.state === 'left') return false;
  return record.state === 'left' || record.sequence > known.sequence;
}

/** Whether a server gets no new requests as it leaves, or has left. */
export function isDeparture({state}: BackendServerRecord): boolean {
  return state === 'draining' || state === 'left';
}

/** Returns the version of a server's software; empty if it is unknown. */
export function softwareVersionOf({
  softwareVersion = '',
}: BackendServerRecord): string {
  return softwareVersion;
}

/** Whether a server announced that it is cold. */
export function isAnnouncedCold({
  coldMilliseconds = 0,
}: BackendServerRecord): boolean {
  return coldMilliseconds > 0;
}

/** Whether two records are of one incarnation, with one software version. */
export function isSameSoftware(
  a: BackendServerRecord,
  b: BackendServerRecord,
): boolean {
  return (
    a.startedAt === b.startedAt &&
    a.service === b.service &&
    softwareVersionOf(a) === softwareVersionOf(b)
  );
}

/**
 * Returns a record without the time for which its server stays cold. That time is
 * over soon, and is announced again: the replicated log doesn't have it.
 */
export function withoutColdTime(
  record: BackendServerRecord,
): BackendServerRecord {
  if (record.coldMilliseconds === undefined) return record;
  const others = {...record};
  delete others.coldMilliseconds;
  return others;
}

/** Whether two records are equal, apart from the sequence and the cold time. */
export function isEqualRecord(
  a: BackendServerRecord,
  b: BackendServerRecord,
): boolean {
  return (
    a.startedAt === b.startedAt &&
    a.service === b.service &&
    a.address === b.address &&
    a.failureDomain === b.failureDomain &&
    a.softwareVersion === b.softwareVersion &&
    a.state === b.state &&
    a.slots === b.slots
  );
}
