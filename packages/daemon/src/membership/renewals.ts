/**
 * @fileoverview Turns records into renewals, and renewals back into records.
 */
import {type AgedRecord, type InstanceRecord} from '@dogwoodtrestle/routing';
import {
  type Announcement,
  type BackendRenewal,
  type InstanceRenewal,
} from '@dogwoodtrestle/schema';

/** Returns the part of an instance's record that each renewal changes. */
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

/** Returns the part of an announcement that each renewal changes. */
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

/** Applies a renewal to the record of the same incarnation that is held. */
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

/** Applies a renewal to the announcement of the same incarnation. */
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
