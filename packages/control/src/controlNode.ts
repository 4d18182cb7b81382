/**
 * @fileoverview A control process: a replica of the fleet's state, the
 * directory of backend servers, and the handlers of peer calls.
 */
import {randomUUID} from 'node:crypto';

import {FileStorage} from '@dogwoodtrestle/consensus';
import {
  type BudgetView,
  coldLimitPolicy,
  compareEvacuations,
  FleetState,
  type IncarnationView,
  isAnnouncedCold,
  isDeparture,
  connectionLeasePolicy,
  LimitShares,
  longestRequest,
  noEvacuations,
  SpeedBoard,
  ServerDirectory,
  viewBudgets,
  viewIncarnations,
} from '@dogwoodtrestle/fleet';
import {
  type CallHandlers,
  type Logger,
  PeerCallClient,
  ByteAccount,
  maxMessageBytes,
  PeerCallServer,
  PeriodicTask,
  recordLimitsOf,
} from '@dogwoodtrestle/runtime';
import {
  type BackendServerRecord,
  type BlockedPart,
  checkedHandler,
  type Evacuations,
  type FleetConfiguration,
  type Member,
  type PresenceRequest,
} from '@dogwoodtrestle/schema';

import {
  applyServerRecord,
  receiveAnnouncements,
} from './announcementReceiver.js';
import {ColdLimitTopic} from './coldLimitTopic.js';
import {
  type ControlInput,
  type ControlOptions,
  defaultControlOptions,
} from './controlOptions.js';
import {createControlParts} from './controlParts.js';
import {type ControlService} from './controlService.js';
import {CrashTopic} from './crashTopic.js';
import {waitForDiskSpace} from './diskSpace.js';
import {ConnectionTopic} from './connectionTopic.js';
import {
  type EvacuationService,
  type ForwardedOrder,
} from './evacuationService.js';
import {LimitTopic} from './limitTopic.js';
import {SpeedTopic} from './speedTopic.js';
import {LeaderLoad, loadIntervalMilliseconds} from './leaderLoad.js';
import {ReplicaGroup} from './replicaGroup.js';
import {type ServerChangeRecorder} from './serverChangeRecorder.js';
import {type WatchService} from './watchService.js';

/**
 * Interval at which a leader looks for changes of servers that aren't recorded:
 * those before it led, and those of failed proposals.
 */
export const recordIntervalMilliseconds = 100;

/** Interval at which a leader looks for routers that lack a change. */
const refreshCheckIntervalMilliseconds = 50;

/** Interval at which the directory is checked for silent servers. */
const silenceCheckIntervalMilliseconds = 500;

/** Interval at which routers that don't report are checked. */
const routerCheckIntervalMilliseconds = 500;

/** Calls between replicas: without them no leader is elected. */
const replicaMethods: ReadonlySet<string> = new Set([
  'consensus',
  'identity',
  'found',
  'join',
]);

/** Runs the parts of one control process. */
export class ControlNode {
  private constructor(
    readonly service: ControlService,
    readonly evacuations: EvacuationService,
    private readonly state: FleetState,
    private readonly group: ReplicaGroup,
    private readonly peerServer: PeerCallServer,
    private readonly client: PeerCallClient,
    private readonly tasks: readonly PeriodicTask[],
    private readonly load: LeaderLoad,
  ) {}

  /**
   * Opens the data folder and listens for calls from other processes. Waits
   * while the disk is full.
   *
   * @throws If the storage can't be opened or the port can't be bound.
   */
  static async start(input: ControlInput): Promise<ControlNode> {
    const options: ControlOptions = {...defaultControlOptions, ...input};
    const {logger, clock, metrics, proxy} = options;
    const client = new PeerCallClient({localAddress: proxy?.localAddress});
    await waitForDiskSpace({folder: options.dataFolder, clock, logger});
    const storage = await FileStorage.open(options.dataFolder, {
      keepsHistory: false,
    });
    // Opening the group replays the log before these parts exist.
    const parts: {watch?: WatchService; recorder?: ServerChangeRecorder} = {};
    const isRecorded = (record: BackendServerRecord) => state.hasServer(record);
    const directory = new ServerDirectory(
      randomUUID(),
      {isRecorded},
      record => {
        const isOffered = directory.isOffered(record.id);
        logger.info({server: record, isOffered}, 'backend server changed');
        if (isOffered) {
          parts.watch?.notifyWatchers(isUrgent(record) ? 'urgent' : 'normal');
        }
        parts.recorder?.recordSoon();
      },
    );
    const failedCommands = metrics.counter(
      'dogwoodtrestle_failed_commands_total',
      'Committed commands that could not be applied, or whose changes not all parts of the process could take.',
    );
    let activeConfiguration: FleetConfiguration | undefined;
    let activeEvacuations = noEvacuations;
    const state: FleetState = new FleetState({
      onConfiguration: configuration => {
        logger.info(
          {
            version: configuration.version,
            routes: configuration.routes.length,
            prepaid: changedPrepaidTotals(activeConfiguration, configuration),
          },
          'active configuration changed',
        );
        activeConfiguration = configuration;
        parts.watch?.putConfiguration(configuration);
      },
      onEvacuations: evacuations => {
        logEvacuations(logger, activeEvacuations, evacuations);
        activeEvacuations = evacuations;
        parts.watch?.putEvacuations(evacuations);
      },
      onServers: records => {
        const now = clock.now();
        for (const record of records) applyServerRecord(directory, record, now);
      },
      onBlockedPart: (subject, blocked) => {
        const isBlocked = blocked !== undefined;
        logger.info(
          {subject, ...blocked},
          isBlocked ? 'crash subject blocked' : 'crash subject unblocked',
        );
        parts.watch?.notifyWatchers();
      },
      onFailure: ({error, ...command}) => {
        failedCommands.add({isApplied: String(command.isApplied)});
        logger.error({err: error, ...command}, 'committed command failed');
      },
    });
    const group = await ReplicaGroup.open(options, client, storage, state);
    const crashes = new CrashTopic(
      {clock, logger, metrics, onNews: () => parts.watch?.notifyWatchers()},
      group,
      state,
      directory,
    );
    const {
      watch,
      refresher,
      recorder,
      departures,
      grants,
      streams,
      service,
      evacuations,
    } = createControlParts({
      options,
      client,
      group,
      state,
      directory,
      topics: [
        new LimitTopic(clock, group, new LimitShares(directory.epoch)),
        new ConnectionTopic(
          clock,
          group,
          new LimitShares(directory.epoch, connectionLeasePolicy, service =>
            longestRequest(service, activeConfiguration),
          ),
        ),
        new ColdLimitTopic(
          clock,
          group,
          state,
          new LimitShares(
            directory.epoch,
            coldLimitPolicy(options.coldLimitBounds),
          ),
        ),
        crashes,
        new SpeedTopic(clock, new SpeedBoard(directory.epoch)),
      ],
    });
    Object.assign(parts, {watch, recorder});
    const receivedCalls = metrics.counter(
      'dogwoodtrestle_calls_total',
      'Calls of other processes.',
    );
    const handlers: CallHandlers = {
      consensus: checkedHandler('ConsensusMessage', message =>
        group.receive(message),
      ),
      identity: async () => group.identity(),
      found: ({members}: {members: Member[]}) => group.acceptBootstrap(members),
      join: checkedHandler('JoinRequest', async request =>
        group.receiveJoinRequest(request),
      ),
      watch: checkedHandler('WatchRequest', (request, call) => {
        receivedCalls.add({call: 'watch'});
        return watch.watch(request, call);
      }),
      usage: checkedHandler('UsageReport', report => {
        receivedCalls.add({call: 'usage'});
        return grants.report(report);
      }),
      recordStreams: checkedHandler('StreamReport', report =>
        streams.record(report),
      ),
      findStream: checkedHandler('StreamQuery', query => streams.find(query)),
      presence: checkedHandler('PresenceRequest', request => {
        grants.openConnection(request);
        return neverReply();
      }),
      announcements: checkedHandler('AnnouncementBatch', ({announcements}) =>
        receiveAnnouncements(
          announcements,
          directory,
          group,
          departures,
          clock,
        ),
      ),
      putConfiguration: ({
        configuration,
        source,
      }: {
        configuration: FleetConfiguration;
        source: string;
      }) => service.proposeConfiguration(configuration, source),
      readConfiguration: () => service.readAsLeader(),
      unblockPart: ({part}: {part: string}) => service.proposeUnblock(part),
      orderEvacuation: (order: ForwardedOrder) => evacuations.propose(order),
    };
    const load = new LeaderLoad(options);
    const [host = '', port = '0'] = options.peerAddress.split(':');
    const peerServer = new PeerCallServer({
      host,
      port: proxy?.listenPort ?? Number(port),
      handlers,
      logger,
      maxConnections: options.maxPeerConnections,
      preferredMethods: replicaMethods,
      onLimit: recordLimitsOf('processes', options),
      maxCallBytes: Math.min(maxMessageBytes, options.maxCallBytes),
      maxCallValues: options.maxCallValues,
      account: new ByteAccount({maxBytes: options.maxCallBytes}),
      onAbandoned: (method, message, end) => {
        if (method !== 'presence') return;
        void grants.endConnection(message as PresenceRequest, end);
      },
      // A presence call never has a reply.
      onReplied: record => {
        if (record.method !== 'presence') load.record(record);
      },
    });
    await peerServer.listen();
    const silenceCheck = new PeriodicTask({
      name: 'detect silent servers',
      clock,
      logger,
      intervalMilliseconds: silenceCheckIntervalMilliseconds,
      run: async () => directory.expire(clock.now()),
    });
    const recording = new PeriodicTask({
      name: 'record server changes',
      clock,
      logger,
      intervalMilliseconds: recordIntervalMilliseconds,
      run: async () => recorder.recordSoon(),
    });
    const refreshing = new PeriodicTask({
      name: 'refresh routers that lack a change',
      clock,
      logger,
      intervalMilliseconds: refreshCheckIntervalMilliseconds,
      run: async () => refresher.refresh(),
    });
    const routerCheck = new PeriodicTask({
      name: 'detect ended routers',
      clock,
      logger,
      intervalMilliseconds: routerCheckIntervalMilliseconds,
      run: () => grants.checkSilentRouters(),
    });
    const loadReport = new PeriodicTask({
      name: 'report the load',
      clock,
      logger,
      intervalMilliseconds: loadIntervalMilliseconds,
      run: async () =>
        load.report({
          isLeader: group.isLeader,
          term: group.term,
          connections: peerServer.connections,
          waitingCalls: watch.waitingCalls,
          waitingDeliveries: watch.waitingDeliveries,
          routersBehind: watch.routersBehind,
        }),
    });
    const tasks = [
      silenceCheck,
      recording,
      refreshing,
      routerCheck,
      loadReport,
    ];
    group.start();
    load.start();
    for (const task of tasks) task.start();
    return new ControlNode(
      service,
      evacuations,
      state,
      group,
      peerServer,
      client,
      tasks,
      load,
    );
  }

  /** Tokens of all workspaces in the state of this replica. */
  get budgets(): BudgetView[] {
    return viewBudgets(this.state);
  }

  /** Tokens of one workspace, by router incarnation. */
  incarnationsOf(workspace: string): IncarnationView[] {
    return viewIncarnations(this.state, workspace);
  }

  /** Blocked parts of prompts and requests in the state of this replica. */
  get blockedParts(): BlockedPart[] {
    return this.state.blockedParts.state.parts;
  }

  /** Whether this process leads the group. */
  get isLeader(): boolean {
    return this.group.isLeader;
  }

  /** Transfers leadership if possible, and closes storage and connections. */
  async stop(): Promise<void> {
    await Promise.all(this.tasks.map(task => task.stop()));
    this.load.stop();
    await this.group.stop();
    await this.peerServer.close();
    await this.client.close();
  }
}

/** Whether routers must hear soon that a server gets fewer requests. */
function isUrgent(record: BackendServerRecord): boolean {
  return isDeparture(record) || isAnnouncedCold(record);
}

/** The caller keeps the connection open, and waits for no reply. */
function neverReply(): Promise<never> {
  return new Promise(() => undefined);
}

/** Logs the evacuations that have begun, and those that have ended. */
function logEvacuations(
  logger: Logger,
  before: Evacuations,
  after: Evacuations,
): void {
  const {revision} = after;
  const {began, ended} = compareEvacuations(before, after);
  for (const evacuation of began) {
    logger.info({...evacuation, revision}, 'evacuation began');
  }
  for (const evacuation of ended) {
    logger.info({...evacuation, revision}, 'evacuation ended');
  }
}

/** Returns new and changed prepaid totals, by workspace. */
function changedPrepaidTotals(
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
