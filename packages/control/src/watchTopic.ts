/**
 * @fileoverview What the leader learns from the routers' watch requests and
 * tells them in its replies, besides the configuration and the records of
 * servers.
 */
import {type WatchRequest, type WatchUpdate} from '@dogwoodtrestle/schema';

/** One subject of the watch call. The process leads when it is called. */
export interface WatchTopic {
  /** Records a request; returns whether all routers need a reply at once. */
  record(request: WatchRequest): boolean;
  /**
   * Whether the reply to a request that was just recorded has news for its
   * router, so that it isn't delayed.
   */
  hasNewsFor?(request: WatchRequest): boolean;
  /** Returns the fields of the reply to a request. */
  notice(request: WatchRequest): Partial<WatchUpdate>;
}
