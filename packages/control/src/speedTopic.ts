/**
 * @fileoverview The speeds of backend servers in the watch call: routers report
 * what they saw, and the leader tells all of them what it makes of it.
 */
import {type SpeedBoard} from '@dogwoodtrestle/fleet';
import {type Clock, shareEncoding} from '@dogwoodtrestle/runtime';
import {type WatchRequest, type WatchUpdate} from '@dogwoodtrestle/schema';

import {type WatchTopic} from './watchTopic.js';

/** Joins the routers' reports; nothing of it is urgent. */
export class SpeedTopic implements WatchTopic {
  constructor(
    private readonly clock: Clock,
    private readonly board: SpeedBoard,
  ) {}

  record({router, speeds}: WatchRequest): boolean {
    if (speeds !== undefined) {
      this.board.record(router, speeds, this.clock.now());
    }
    return false;
  }

  notice({speeds}: WatchRequest): Partial<WatchUpdate> {
    // A router of an earlier version sends no report.
    if (speeds === undefined) return {};
    const view = this.board.notice(speeds, this.clock.now());
    if (view === undefined) return {};
    return {...view, speedValues: shareEncoding(view.speedValues)};
  }
}
