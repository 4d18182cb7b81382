/**
 * @fileoverview The parts of a control process that work on its replica and its
 * directory of servers, wired to each other.
 */
import {type FleetState, type ServerDirectory} from '@dogwoodtrestle/fleet';
import {type PeerCallClient} from '@dogwoodtrestle/runtime';

import {AnnouncementBroadcaster} from './announcementBroadcaster.js';
import {type ControlOptions} from './controlOptions.js';
import {ControlService} from './controlService.js';
import {DepartureAcknowledger} from './departureAcknowledger.js';
import {EvacuationService} from './evacuationService.js';
import {GrantService} from './grantService.js';
import {KnownRouters} from './knownRouters.js';
import {LeaderCalls} from './leaderCalls.js';
import {type ReplicaGroup} from './replicaGroup.js';
import {type RouterEndOptions} from './routerEndDetector.js';
import {RouterRefresher} from './routerRefresher.js';
import {ServerChangeRecorder} from './serverChangeRecorder.js';
import {StreamService} from './streamService.js';
import {WatchService} from './watchService.js';
import {type WatchTopic} from './watchTopic.js';

/** What the parts work on. */
export interface ControlPartsInput {
  options: ControlOptions & Pick<RouterEndOptions, 'isRefused'>;
  client: PeerCallClient;
  group: ReplicaGroup;
  state: FleetState;
  directory: ServerDirectory;
  /** Further subjects of the watch call. */
  topics: readonly WatchTopic[];
}

/** The parts of one control process. */
export interface ControlParts {
  watch: WatchService;
  refresher: RouterRefresher;
  recorder: ServerChangeRecorder;
  departures: DepartureAcknowledger;
  grants: GrantService;
  streams: StreamService;
  service: ControlService;
  evacuations: EvacuationService;
}

/** Creates the parts, with the configuration that the state has. */
export function createControlParts({
  options,
  client,
  group,
  state,
  directory,
  topics,
}: ControlPartsInput): ControlParts {
  const routers = new KnownRouters(options, group);
  const watch = new WatchService(options, group, directory, topics, routers);
  if (state.current !== undefined) {
    watch.putConfiguration(state.current.configuration);
  }
  if (state.evacuations.revision > 0) watch.putEvacuations(state.evacuations);
  const recorder = new ServerChangeRecorder(options, group, directory, state);
  const departures = new DepartureAcknowledger(
    options,
    recorder,
    directory,
    routers,
  );
  const broadcaster = new AnnouncementBroadcaster(
    options,
    client,
    group,
    departures,
  );
  const calls = new LeaderCalls(options, client, group);
  return {
    watch,
    refresher: new RouterRefresher(options, client, group, routers),
    recorder,
    departures,
    grants: new GrantService(
      options,
      group,
      state,
      () => routers.addresses,
      watch,
    ),
    streams: new StreamService(options, group, state, directory, () =>
      watch.leaderHint(),
    ),
    evacuations: new EvacuationService(options, calls, group, state, routers),
    service: new ControlService(
      options,
      calls,
      group,
      state,
      directory,
      broadcaster,
      routers,
    ),
  };
}
