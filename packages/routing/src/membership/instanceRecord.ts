/** @fileoverview Record that an instance publishes about itself by gossip. */
import {type Versioned} from '../util/gossipTable.js';

/** Role that an instance can have. */
export type InstanceRole = 'router' | 'ledger';

/** Gossip record of an instance; `sequence` counts its heartbeats. */
export interface InstanceRecord extends Versioned {
  cluster: string;
  /** IP address at which other instances reach it. */
  address: string;
  /** Port for callers. */
  callerPort: number;
  /** Port for other instances. */
  peerPort: number;
  region: string;
  failureDomain: string;
  roles: InstanceRole[];
  /** Revision of the configuration that it uses. */
  revision: number;
  /** Time since its last contact with the ledger's quorum. */
  renewedMillisecondsAgo: number;
  /** Its wall clock at the heartbeat, in milliseconds since 1970. */
  wallClock: number;
}

/** Returns `host:port` for other instances, with IPv6 hosts in brackets. */
export function peerAddressOf({
  address,
  peerPort,
}: Pick<InstanceRecord, 'address' | 'peerPort'>): string {
  return address.includes(':')
    ? `[${address}]:${peerPort}`
    : `${address}:${peerPort}`;
}
