/**
 * @fileoverview Instances and backend servers as operators see them.
 */
import {type BackendStatus, type InstanceStatus} from '@dogwoodtrestle/routing';
import {type BackendView, type InstanceView} from '@dogwoodtrestle/schema';

/** What this instance has to do with a backend server. */
export interface BackendUse {
  /** Requests that it has running there. */
  inFlight: number;
  /** Whether it sends no requests there for now. */
  isEjected: boolean;
}

/** Renders what is known of an instance. */
export function instanceViewOf({
  record,
  state,
  ageMilliseconds,
}: InstanceStatus): InstanceView {
  return {
    name: record.name,
    incarnation: record.incarnation,
    address: record.address,
    callerPort: record.callerPort,
    peerPort: record.peerPort,
    region: record.region,
    failureDomain: record.failureDomain,
    roles: record.roles,
    revision: record.revision,
    renewedMillisecondsAgo: record.renewedMillisecondsAgo,
    seenMillisecondsAgo: Math.round(ageMilliseconds),
    state,
  };
}

/** Renders what is known of a backend server. */
export function backendViewOf(
  {entry, state, ageMilliseconds}: BackendStatus,
  {inFlight, isEjected}: BackendUse,
): BackendView {
  return {
    announcement: entry.announcement,
    ageMilliseconds: Math.round(ageMilliseconds),
    inFlight,
    state: state === 'serving' && isEjected ? 'ejected' : state,
  };
}
