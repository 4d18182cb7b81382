/** @fileoverview What an instance says of itself to the others. */
import {type Versioned} from '../util/agedTable.js';

export type InstanceRole = 'router' | 'ledger';

/** Made anew by its instance with each heartbeat, which is its `sequence`. */
export interface InstanceRecord extends Versioned {
  cluster: string;
  /** IP address that the other instances reach it by. */
  address: string;
  callerPort: number;
  peerPort: number;
  region: string;
  failureDomain: string;
  roles: InstanceRole[];
  /** Configuration revision in force there. */
  revision: number;
  /** Time since it last heard from the ledger's quorum. */
  renewedMillisecondsAgo: number;
  /** Its wall clock when it made the record, in milliseconds since 1970. */
  wallClock: number;
}

/** Host and port at which the other instances reach it. */
export function peerAddressOf({
  address,
  peerPort,
}: Pick<InstanceRecord, 'address' | 'peerPort'>): string {
  return address.includes(':')
    ? `[${address}]:${peerPort}`
    : `${address}:${peerPort}`;
}
