/**
 * @fileoverview A diskless router: listens for callers, forwards their requests
 * to backend servers, and follows the control processes.
 */
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';

import {RouteTable} from '@dogwoodtrestle/fleet';
import {
  type PeerCallClient,
  type PeerCallServer,
  type PresenceConnection,
  readBody,
  sleep,
  waitForPendingClose,
} from '@dogwoodtrestle/runtime';
import {type Evacuations, type FleetRoute} from '@dogwoodtrestle/schema';

import {CallerExchange} from './callerExchange.js';
import {type EdgeContext} from './edgeContext.js';
import {createEdgeParts} from './edgeParts.js';
import {
  defaultEdgeOptions,
  type EdgeOptions,
  type EdgeStartOptions,
} from './edgeOptions.js';
import {CallerLimits} from './callerLimits.js';
import {
  bodyLimitsOf,
  bodyRefusals,
  createCallerServer,
  followIdleTimeout,
} from './callerServer.js';
import {type RefusalReason} from './refusal.js';
import {RequestHandler} from './requestHandler.js';
import {controlAges} from './requestSummary.js';
import {RequestPipeline} from './requestPipeline.js';
import {type RoutedRequest} from './routedRequest.js';
import {matchRequest} from './viewDecision.js';
import {type CallerRequest} from './wireCodec.js';

/** Interval at which a stopping router checks for open requests. */
const drainPollIntervalMilliseconds = 50;

/** Pause between the last reports of a router, until one is recorded. */
const finalReportIntervalMilliseconds = 100;

/** Interval at which callers of a router that reaches no server are sent away. */
const idleCallerIntervalMilliseconds = 500;

/** Time in which a load balancer notices, by two checks, that it isn't ready. */
const rotationMilliseconds = 2_000;

/** Monotonic times of a stop in which no new connections are accepted. */
interface StopEnd {
  /** From then on no request is taken. */
  lastRequestAt: number;
  /** Open requests are aborted then. */
  abortAt: number;
}

/** Part of the drain time after the linger time in which requests are taken. */
const takingShare = 0.5;

/** A running router. */
export class EdgeNode {
  private readonly context: EdgeContext;
  private readonly calls: PeerCallClient;
  /** Tells the leader that this process runs. */
  private readonly presence: PresenceConnection;
  private readonly server: Server;
  private readonly listener: PeerCallServer;
  private readonly activeRequests = new Set<RequestHandler>();
  private readonly pipeline = new RequestPipeline();
  private readonly callerLimits: CallerLimits;
  private isStopping = false;
  private cancelIdleCallers?: () => void;
  /** When the stop ends; set once new connections are no longer accepted. */
  private stopEnd?: StopEnd;

  private constructor(private readonly options: EdgeOptions) {
    const {context, calls, presence, listener} = createEdgeParts(options);
    this.context = context;
    this.calls = calls;
    this.presence = presence;
    this.listener = listener;
    this.callerLimits = new CallerLimits(options);
    this.server = createCallerServer(
      options,
      this.callerLimits,
      (request, response) => {
        this.receive(request, response).catch((error: unknown) => {
          // An error of one request must not affect others.
          const {logger} = options;
          logger.error({err: error, target: request.url}, 'request failed');
          response.destroy();
        });
      },
    );
  }

  /**
   * Starts a router.
   *
   * @throws If one of its addresses can't be listened on.
   */
  static async start(input: EdgeStartOptions): Promise<EdgeNode> {
    const node = new EdgeNode({...defaultEdgeOptions, ...input});
    await node.listen();
    await node.listener.listen();
    node.context.control.start();
    node.context.reach.start();
    node.closeIdleCallers();
    return node;
  }

  /** The evacuated failure domains that this router knows. */
  get evacuations(): Evacuations {
    return this.context.control.evacuations;
  }

  /** Whether a load balancer should send new connections here. */
  get isReady(): boolean {
    const {admission, control, grants, reach} = this.context;
    const isServing = !this.isStopping && !grants.isOver && !reach.isLost;
    return isServing && !admission.isOverloaded && control.routes !== undefined;
  }

  /**
   * Shuts down: accepts connections for the linger time, finishes open requests
   * within the drain time, and returns unused tokens.
   */
  async stop(): Promise<void> {
    const {clock, logger, control, loans, pool, reach} = this.context;
    const {lingerMilliseconds, drainMilliseconds} = this.options;
    const startedAt = clock.now();
    this.isStopping = true;
    logger.info(
      {open: this.activeRequests.size},
      'stopping; no new connections',
    );
    this.context.grants.close();
    void control.report();
    await sleep(clock, lingerMilliseconds);
    const abortAt = startedAt + drainMilliseconds;
    const rest = abortAt - clock.now();
    this.stopEnd = {lastRequestAt: clock.now() + rest * takingShare, abortAt};
    let isClosed = false;
    this.server.close(() => {
      isClosed = true;
    });
    this.server.closeIdleConnections();
    // Wait until no request is being read or handled.
    while (!isClosed && clock.now() - startedAt < drainMilliseconds) {
      await sleep(clock, drainPollIntervalMilliseconds);
      this.server.closeIdleConnections();
    }
    logger.info({brokenOff: this.activeRequests.size}, 'stopped');
    for (const handler of this.activeRequests) handler.abort();
    await loans.collect();
    await control.report();
    await control.report(); // The first may have gone to a former leader.
    while (this.mustReport() && clock.now() < abortAt) {
      await sleep(clock, finalReportIntervalMilliseconds);
      await control.report();
    }
    control.stop();
    reach.stop();
    this.cancelIdleCallers?.();
    pool.close();
    this.server.closeAllConnections();
    await this.listener.close();
    this.presence.close();
    await this.calls.close();
  }

  /** Whether a leader has yet to record what this router returned. */
  private mustReport(): boolean {
    const {grants} = this.context;
    return grants.hasUnreported && !grants.isOver;
  }

  /**
   * Closes the open connections of callers while no server is reached, so that they
   * connect to other routers before their next request.
   */
  private closeIdleCallers(): void {
    const {clock, reach} = this.context;
    if (reach.lostMilliseconds >= rotationMilliseconds) {
      this.server.closeIdleConnections();
    }
    this.cancelIdleCallers = clock.setTimer(
      idleCallerIntervalMilliseconds,
      () => this.closeIdleCallers(),
    );
  }

  private async listen(): Promise<void> {
    const [host = '', port = '0'] = this.options.callerAddress.split(':');
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(Number(port), host, 1_024, resolve);
    });
  }

  private async receive(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {clock} = this.context;
    const {callerLimits} = this;
    const receivedAt = clock.now();
    const {socket} = message;
    if (!this.pipeline.hasRoom(socket)) {
      callerLimits.closeAhead(socket);
      return;
    }
    const {account} = callerLimits;
    const exchange = new CallerExchange(
      message,
      response,
      () => this.isStopping || this.context.reach.isLost,
      account,
    );
    const {control} = this.context;
    const {viewBoundMilliseconds} = this.options;
    followIdleTimeout(this.server, control.routes);
    const hold = this.pipeline.mustWait(socket)
      ? callerLimits.holdWaiting(socket)
      : undefined;
    const isItsTurn = await this.pipeline.waitForTurn(socket, exchange);
    hold?.release();
    if (!isItsTurn) {
      // Node.js emits no close of a response that never had the socket, and the
      // requests behind it would wait for it.
      response.emit('close');
      return;
    }
    // That of the answer in front.
    if (hold !== undefined) socket.setTimeout(0);
    const {method = 'GET', url = '/', rawHeaders} = message;
    const request = this.options.codec.decodeRequest(method, url, rawHeaders);
    const refuse = (reason: RefusalReason) => {
      this.refuse(exchange, request, reason);
    };
    const read = await readBody(message, {
      ...bodyLimitsOf(control.routes, request),
      account,
      clock,
    });
    if (typeof read === 'string') {
      callerLimits.recordFailure(read);
      const reason = bodyRefusals[read];
      if (reason !== undefined) refuse(reason);
      return;
    }
    exchange.onClosed(() => read.held.release());
    const body = read.bytes;
    if (request === undefined) return refuse('malformed');
    const match = await matchRequest({control, viewBoundMilliseconds}, request);
    await waitForPendingClose();
    if (exchange.hasCallerLeft) {
      const {logger, metrics} = this.context;
      metrics.requests.add({route: '', outcome: 'callerLeft'});
      logger.info(
        {request: request.attemptId},
        'caller disconnected before its request was read',
      );
      message.socket.destroy();
      return;
    }
    if (typeof match === 'string') return refuse(match);
    if (!this.mayEnd(match.route, request)) return refuse('routerStopping');
    this.dispatch({...match, request, body, receivedAt}, exchange);
  }

  private dispatch(
    input: Omit<RoutedRequest, 'service'>,
    exchange: CallerExchange,
  ): void {
    const service = RouteTable.serviceOf(input.route, this.options.random());
    const handler = new RequestHandler(
      this.context,
      {...input, service},
      exchange,
      () => this.activeRequests.delete(handler),
    );
    this.activeRequests.add(handler);
    handler.start().catch((error: unknown) => {
      const {logger} = this.context;
      const request = input.request.attemptId;
      logger.error({err: error, request}, 'request failed');
      handler.abort();
    });
  }

  /**
   * Whether a request that was read late in a stop may end before it. A stream may
   * take all the time that it has.
   */
  private mayEnd(route: FleetRoute, request: CallerRequest): boolean {
    if (this.stopEnd === undefined) return true;
    const {lastRequestAt, abortAt} = this.stopEnd;
    const now = this.context.clock.now();
    const {timeRemainingMilliseconds = Infinity} = request;
    const longest = Math.min(
      route.timeoutMilliseconds,
      timeRemainingMilliseconds,
    );
    const isLong = route.kind === 'streaming' && now + longest > abortAt;
    return now < lastRequestAt && !isLong;
  }

  private refuse(
    exchange: CallerExchange,
    request: CallerRequest | undefined,
    reason: RefusalReason,
  ): void {
    const {logger, metrics, control} = this.context;
    metrics.requests.add({route: '', outcome: reason});
    metrics.failures.add({workspace: '', reason});
    logger.info(
      {
        request: request?.attemptId,
        reason,
        host: request?.host,
        target: request?.target,
        configurationVersion: control.routes?.version,
        ...controlAges(control),
      },
      'request refused',
    );
    exchange.refuse(reason);
  }
}
