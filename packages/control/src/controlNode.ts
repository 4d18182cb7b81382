/**
 * @fileoverview A control process: a replica of the fleet's state, the
 * directory of backend servers, and the calls of routers.
 */
import {randomUUID} from 'node:crypto';

import {FileStorage} from '@dogwoodtrestle/consensus';
import {
  type BudgetView,
  FleetState,
  type LifeView,
  ServerDirectory,
  viewBudgets,
  viewLives,
} from '@dogwoodtrestle/fleet';
import {
  type CallHandlers,
  type Clock,
  PeerCallClient,
  PeerCallServer,
  PeriodicTask,
} from '@dogwoodtrestle/runtime';
import {
  type AnnouncementItem,
  type BackendServerRecord,
  checkedHandler,
  type FleetConfiguration,
  type Member,
} from '@dogwoodtrestle/schema';

import {
  type AnnouncementReply,
  AnnouncementBroadcaster,
} from './announcementBroadcaster.js';
import {ReplicaGroup} from './replicaGroup.js';
import {
  type ControlInput,
  type ControlOptions,
  defaultControlOptions,
} from './controlOptions.js';
import {ControlService} from './controlService.js';
import {waitForDiskSpace} from './diskSpace.js';
import {GrantService} from './grantService.js';
import {ServerChangeRecorder} from './serverChangeRecorder.js';
import {WatchService} from './watchService.js';

/** Interval at which servers that fell silent are looked for. */
const expiryIntervalMilliseconds = 500;

/** One control process. */
export class ControlNode {
  private constructor(
    readonly service: ControlService,
    private readonly state: FleetState,
    private readonly group: ReplicaGroup,
    private readonly listener: PeerCallServer,
    private readonly calls: PeerCallClient,
    private readonly expiry: PeriodicTask,
  ) {}

  /** Opens the data folder, and listens for calls of other processes. */
  static async start(input: ControlInput): Promise<ControlNode> {
    const options: ControlOptions = {...defaultControlOptions, ...input};
    const {logger, clock, metrics, proxy} = options;
    const calls = new PeerCallClient({localAddress: proxy?.localAddress});
    await waitForDiskSpace({folder: options.dataFolder, clock, logger});
    const storage = await FileStorage.open(options.dataFolder, {
      keepsHistory: false,
    });
    // Opening the group replays the log, before there are routers to tell.
    const parts: {desk?: WatchService; notes?: ServerChangeRecorder} = {};
    const directory = new ServerDirectory(randomUUID(), {}, record => {
      logger.info({server: record}, 'backend server changed');
      parts.desk?.wake();
      parts.notes?.add(record);
    });
    let inForce: FleetConfiguration | undefined;
    const state = new FleetState({
      onConfiguration: configuration => {
        logger.info(
          {
            version: configuration.version,
            routes: configuration.routes.length,
            prepaid: changedTotals(inForce, configuration),
          },
          'configuration in force',
        );
        inForce = configuration;
        parts.desk?.putConfiguration(configuration);
      },
      onServers: records => {
        const now = clock.now();
        for (const record of records) takeRecord(directory, record, now);
      },
    });
    const group = await ReplicaGroup.open(options, calls, storage, state);
    const desk = new WatchService(options, group, directory);
    const notes = new ServerChangeRecorder(options, group);
    Object.assign(parts, {desk, notes});
    if (state.current !== undefined) {
      desk.putConfiguration(state.current.configuration);
    }
    const grants = new GrantService(
      options,
      group,
      state,
      () => desk.routerAddresses,
    );
    const spreader = new AnnouncementBroadcaster(options, calls, group, notes);
    const service = new ControlService(
      options,
      calls,
      group,
      state,
      directory,
      spreader,
    );
    const received = metrics.counter(
      'dogwoodtrestle_calls_total',
      'Calls of other processes.',
    );
    const handlers: CallHandlers = {
      consensus: checkedHandler('ConsensusMessage', message =>
        group.receive(message),
      ),
      identity: async () => group.identity(),
      found: ({members}: {members: Member[]}) => group.found(members),
      join: checkedHandler('JoinRequest', async request =>
        group.apply(request),
      ),
      watch: checkedHandler('WatchRequest', request => {
        received.add({call: 'watch'});
        return desk.watch(request);
      }),
      usage: checkedHandler('UsageReport', report => {
        received.add({call: 'usage'});
        return grants.report(report);
      }),
      announcements: checkedHandler('AnnouncementBatch', ({announcements}) =>
        receiveAnnouncements(announcements, directory, group, notes, clock),
      ),
      putConfiguration: ({
        configuration,
        source,
      }: {
        configuration: FleetConfiguration;
        source: string;
      }) => service.proposeConfiguration(configuration, source),
      readConfiguration: () => service.readLocally(),
    };
    const [host = '', port = '0'] = options.peerAddress.split(':');
    const listener = new PeerCallServer({
      host,
      port: proxy?.listenPort ?? Number(port),
      handlers,
      logger,
    });
    await listener.listen();
    const expiry = new PeriodicTask({
      name: 'silent servers',
      clock,
      logger,
      intervalMilliseconds: expiryIntervalMilliseconds,
      run: async () => directory.expire(clock.now()),
    });
    group.start();
    expiry.start();
    return new ControlNode(service, state, group, listener, calls, expiry);
  }

  /** Tokens of all workspaces, as far as this replica has heard. */
  get budgets(): BudgetView[] {
    return viewBudgets(this.state);
  }

  /** Tokens of one workspace by life of a router. */
  livesOf(workspace: string): LifeView[] {
    return viewLives(this.state, workspace);
  }

  get isLeader(): boolean {
    return this.group.isLeader;
  }

  /** Hands leadership over and closes the data folder. */
  async stop(): Promise<void> {
    await this.expiry.stop();
    await this.group.stop();
    await this.listener.close();
    await this.calls.close();
  }
}

/** Takes over what the replicated log says of a server. */
function takeRecord(
  directory: ServerDirectory,
  record: BackendServerRecord,
  now: number,
): void {
  if (record.state === 'left') {
    directory.leave(record.id, now, record.startedAt);
  } else {
    directory.announce(record, now);
  }
}

/** Takes over what another process heard; the leader answers once it is noted. */
async function receiveAnnouncements(
  announcements: AnnouncementItem[],
  directory: ServerDirectory,
  group: ReplicaGroup,
  notes: ServerChangeRecorder,
  clock: Clock,
): Promise<AnnouncementReply> {
  let isLeaving = false;
  for (const announcement of announcements) {
    if (announcement.kind === 'announced') {
      directory.announce(announcement.record, clock.now());
      isLeaving ||= announcement.record.state === 'draining';
    } else {
      const {id, startedAt} = announcement.departure;
      directory.leave(id, clock.now(), startedAt);
      isLeaving = true;
    }
  }
  if (!group.isLeader) return {isNoted: false};
  return {isNoted: !isLeaving || (await notes.flush())};
}

/** Prepaid totals that differ between two versions, by workspace. */
function changedTotals(
  previous: FleetConfiguration | undefined,
  {workspaces}: FleetConfiguration,
): Record<string, number | undefined> {
  const before = new Map(
    previous?.workspaces?.map(({name, prepaidTokens}) => [name, prepaidTokens]),
  );
  const changed = (workspaces ?? []).filter(
    ({name, prepaidTokens}) =>
      !before.has(name) || before.get(name) !== prepaidTokens,
  );
  return Object.fromEntries(
    changed.map(({name, prepaidTokens}) => [name, prepaidTokens]),
  );
}
