/**
 * @fileoverview Views of instances and backend servers for the operator API.
 */
import {type BackendStatus, type InstanceStatus} from '@dogwoodtrestle/routing';
import {type BackendView, type InstanceView} from '@dogwoodtrestle/schema';

/** State of a backend server that only this instance knows. */
export interface LocalBackendState {
  /** Number of requests of this instance in flight at the server. */
  inFlight: number;
  /** Whether this instance has ejected the server. */
  isEjected: boolean;
}

/** Returns the view of an instance. */
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

/** Returns the view of a backend server. */
export function backendViewOf(
  {entry, state, ageMilliseconds}: BackendStatus,
  {inFlight, isEjected}: LocalBackendState,
): BackendView {
  return {
    announcement: entry.announcement,
    ageMilliseconds: Math.round(ageMilliseconds),
    inFlight,
    state: state === 'serving' && isEjected ? 'ejected' : state,
  };
}
