/**
 * @fileoverview Conversion between records and renewals.
 */
import {type AgedRecord, type InstanceRecord} from '@dogwoodtrestle/routing';
import {
  type Announcement,
  type BackendRenewal,
  type InstanceRenewal,
} from '@dogwoodtrestle/schema';

/** Returns the fields of an instance's record that each renewal changes. */
export function instanceRenewalOf({
  record,
  ageMilliseconds,
}: AgedRecord<InstanceRecord>): InstanceRenewal {
  return {
    name: record.name,
    sequence: record.sequence,
    age: ageMilliseconds,
    revision: record.revision,
    renewedAgo: record.renewedMillisecondsAgo,
    wallClock: record.wallClock,
  };
}

/** Returns the fields of an announcement that each renewal changes. */
export function backendRenewalOf({
  record,
  ageMilliseconds,
}: AgedRecord<Announcement>): BackendRenewal {
  const {running, queued, tokensPerSecond} = record.load;
  return {
    name: record.name,
    sequence: record.sequence,
    age: ageMilliseconds,
    running,
    queued,
    tokensPerSecond,
  };
}

/** Applies a renewal to the local record, which has the same incarnation. */
export function renewInstance(
  held: InstanceRecord,
  renewal: InstanceRenewal,
): AgedRecord<InstanceRecord> {
  const {sequence, age, revision, renewedAgo, wallClock} = renewal;
  return {
    record: {
      ...held,
      sequence,
      revision,
      renewedMillisecondsAgo: renewedAgo,
      wallClock,
    },
    ageMilliseconds: age,
  };
}

/**
 * Applies a renewal to the local announcement, which has the same incarnation.
 * The result has no cache report, which a renewal doesn't contain.
 */
export function renewBackend(
  held: Announcement,
  renewal: BackendRenewal,
): AgedRecord<Announcement> {
  const {sequence, age, running, queued, tokensPerSecond} = renewal;
  const load = {...held.load, running, queued, tokensPerSecond};
  return {
    record: {...held, sequence, load, cache: undefined},
    ageMilliseconds: age,
  };
}
