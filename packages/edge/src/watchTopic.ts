/**
 * @fileoverview What a router and the leader tell each other in the watch call,
 * besides the configuration and the records of servers.
 */
import {type LeaseRequestTime} from '@dogwoodtrestle/fleet';
import {type WatchRequest, type WatchUpdate} from '@dogwoodtrestle/schema';

/** Fields of a watch request that one topic sets. */
export interface WatchReport {
  fields: Partial<WatchRequest>;
  /** Called if a leader has received the request, with the leader's epoch. */
  onReceived?: (epoch: string) => void;
}

/** One subject of the watch call. */
export interface WatchTopic {
  /**
   * Returns what the leader must know.
   *
   * @param epoch Epoch of the leader that was heard last.
   */
  report(epoch: string): WatchReport;
  /**
   * Applies the reply of a leader.
   *
   * @param time When the request was sent.
   */
  apply(update: WatchUpdate, time: LeaseRequestTime): void;
}
