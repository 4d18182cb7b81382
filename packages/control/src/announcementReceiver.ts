/**
 * @fileoverview Applies what other control processes, and the replicated log, say
 * of backend servers to the directory.
 */
import {isDeparture, type ServerDirectory} from '@dogwoodtrestle/fleet';
import {type Clock} from '@dogwoodtrestle/runtime';
import {
  type AnnouncementItem,
  type BackendServerRecord,
  type Departure,
} from '@dogwoodtrestle/schema';

import {type AnnouncementReply} from './announcementBroadcaster.js';
import {type DepartureAcknowledger} from './departureAcknowledger.js';
import {type ReplicaGroup} from './replicaGroup.js';

/** Applies a server record of the replicated log to the directory. */
export function applyServerRecord(
  directory: ServerDirectory,
  record: BackendServerRecord,
  now: number,
): void {
  if (record.state === 'left') {
    directory.leave(record.id, now, record.startedAt);
  } else {
    directory.announce(record, now);
    directory.offer(record.id, now);
  }
}

/**
 * Applies announcements that another process received. The leader replies to
 * one of a leaving server once it is recorded.
 */
export async function receiveAnnouncements(
  announcements: readonly AnnouncementItem[],
  directory: ServerDirectory,
  group: ReplicaGroup,
  acknowledger: DepartureAcknowledger,
  clock: Clock,
): Promise<AnnouncementReply> {
  const departures: Departure[] = [];
  for (const announcement of announcements) {
    if (announcement.kind === 'announced') {
      const {record} = announcement;
      directory.announce(record, clock.now());
      if (isDeparture(record)) departures.push(record);
    } else {
      const {id, startedAt} = announcement.departure;
      directory.leave(id, clock.now(), startedAt);
      departures.push(announcement.departure);
    }
  }
  if (!group.isLeader) return {isNoted: false};
  const isNoted =
    departures.length === 0 || (await acknowledger.acknowledge(departures));
  return {isNoted};
}
