/** @fileoverview Request path and callers for tests. */
import {type AddressInfo} from 'node:net';

import {Ledger} from '@dogwoodtrestle/ledger';
import {BackendDirectory} from '@dogwoodtrestle/routing';
import {
  type Announcement,
  type Command,
  type Contract,
  type Result,
  type Settings,
  validate,
} from '@dogwoodtrestle/schema';
import {
  defaultStandInOptions,
  ModelServer,
  ServiceServer,
  type StandInOptions,
} from '@dogwoodtrestle/testkit';
import {pino} from 'pino';

import {closeHttpServer, createHttpServer} from '../../src/httpServer.js';
import {createMetrics} from '../../src/observability/metrics.js';
import {createTracing} from '../../src/observability/tracing.js';
import {type GrantSpender} from '../../src/requests/dependencies.js';
import {RequestPath} from '../../src/requests/index.js';
import {keyHashOf} from '../../src/requests/requestKey.js';

export const callerKey = 'caller-key-of-the-desk';
export const customer = 'barley';

export function settingsOf(
  requests: Partial<Settings['requests']> = {},
): Settings {
  const result = validate('Settings', {
    cluster: {name: 'test', keyFile: 'unused'},
    instance: {name: 'r1', failureDomain: 'local', address: '127.0.0.1'},
    requests,
  });
  if ('findings' in result) throw new Error(JSON.stringify(result.findings));
  return result.value;
}

export function contractOf(changes: Partial<Contract> = {}): Contract {
  const result = validate('Contract', {
    customer,
    budget: {prepaid: 1_000_000},
    models: [{name: 'barley-7b', inputPrice: 1, outputPrice: 2}],
    services: [{name: 'bookings', callPrice: 50}],
    workspaces: [{name: 'desk', keyHash: keyHashOf(callerKey)}],
    ...changes,
  });
  if ('findings' in result) throw new Error(JSON.stringify(result.findings));
  return result.value;
}

/** Grant spender of an instance without grants. */
const noGrants: GrantSpender = {
  open: () => Promise.resolve({kind: 'refused', reason: 'no grant is held'}),
  settle: () => Promise.resolve(),
  observe: () => undefined,
};

export interface FixtureOptions {
  contract?: Partial<Contract>;
  requests?: Partial<Settings['requests']>;
  standIn?: Partial<StandInOptions>;
  grants?: GrantSpender;
  /** Replaces the ledger's results, for example by a quorum failure. */
  submit?: (command: Command, apply: () => Result) => Promise<Result>;
}

/** A request path with a real ledger state machine and simulated servers. */
export class RequestFixture {
  readonly ledger = new Ledger();
  readonly commands: Command[] = [];
  readonly directory = new BackendDirectory();
  private index = 0;
  private readonly cleanups: (() => Promise<unknown>)[] = [];

  private constructor(
    readonly base: string,
    readonly path: RequestPath,
    private readonly options: FixtureOptions,
  ) {}

  static async start(options: FixtureOptions = {}): Promise<RequestFixture> {
    const settings = settingsOf(options.requests);
    const server = createHttpServer(settings);
    let fixture: RequestFixture | undefined = undefined;
    const path = new RequestPath({
      settings,
      holder: 'r1#1',
      logger: pino({level: 'silent'}),
      metrics: createMetrics(settings),
      tracing: createTracing(settings),
      ledger: {
        connected: true,
        submit: command => fixture!.submit(command),
      },
      grants: options.grants ?? noGrants,
      contracts: {
        byKeyHash: hash => Promise.resolve(fixture!.ownerOf(hash)),
        refresh: name => Promise.resolve(fixture!.ledger.contract(name)),
      },
      instances: {
        isAlive: () => false,
        liveRouters: () => 1,
        fetchAnswer: () => Promise.resolve(undefined),
      },
      directory: new Proxy({} as BackendDirectory, {
        get: (_target, name) => {
          const {directory} = fixture!;
          const value: unknown = Reflect.get(directory, name);
          return typeof value === 'function'
            ? (value as () => unknown).bind(directory)
            : value;
        },
      }),
      now: () => performance.now(),
    });
    await path.addRoutes(server);
    server.post('/v1/announcements', request => {
      fixture!.directory.observe(
        request.body as Announcement,
        performance.now(),
      );
      return {};
    });
    await server.listen({host: '127.0.0.1', port: 0});
    const {port} = server.server.address() as AddressInfo;
    fixture = new RequestFixture(`http://127.0.0.1:${port}`, path, options);
    fixture.cleanups.push(
      () => path.close(),
      () => closeHttpServer(server),
    );
    fixture.apply({
      kind: 'applyContract',
      changeId: 'c1',
      operator: 'test',
      expectedVersion: 0,
      contract: contractOf(options.contract),
    });
    return fixture;
  }

  async startModel(): Promise<ModelServer> {
    return this.startStandIn(new ModelServer(this.standInOptions('model-1')));
  }

  async startService(): Promise<ServiceServer> {
    return this.startStandIn(
      new ServiceServer(this.standInOptions('booking-1')),
    );
  }

  /** Sends a chat request with defaults for the fields not given. */
  chat(
    body: object = {},
    headers: Record<string, string> = {},
  ): Promise<Response> {
    return this.post('/v1/chat/completions', {
      body: JSON.stringify({
        model: 'barley-7b',
        messages: [{role: 'user', content: 'How much protein has lot 7?'}],
        max_tokens: 8,
        ...body,
      }),
      headers,
    });
  }

  post(
    path: string,
    {body, headers = {}}: {body: string; headers?: Record<string, string>},
  ): Promise<Response> {
    return fetch(`${this.base}${path}`, {
      method: 'POST',
      body,
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${callerKey}`,
        ...headers,
      },
    });
  }

  /** Waits until all requests are settled, and returns the budget. */
  async settledBudget(): Promise<{billed: number; reserved: number}> {
    for (let tries = 0; tries < 200; tries++) {
      const budget = this.ledger.budget(customer);
      if (budget?.reserved === 0 && this.path.inFlight === 0) return budget;
      await new Promise(resolve => setTimeout(resolve, 20));
    }
    throw new Error('timed out waiting for the requests to be settled');
  }

  apply(command: Command): Result {
    this.index++;
    return this.ledger.apply(command, {
      index: this.index,
      timestamp: this.index,
    });
  }

  async stop(): Promise<void> {
    for (const cleanup of this.cleanups.reverse()) await cleanup();
  }

  private submit(command: Command): Promise<Result> {
    this.commands.push(command);
    const apply = () => this.apply(command);
    return this.options.submit?.(command, apply) ?? Promise.resolve(apply());
  }

  private ownerOf(hash: string) {
    for (const view of this.ledger.contracts()) {
      const workspace = view.contract.workspaces.find(
        ({keyHash}) => keyHash === hash,
      );
      if (workspace !== undefined) return {view, workspace};
    }
    return undefined;
  }

  private standInOptions(name: string): StandInOptions {
    return {
      ...defaultStandInOptions,
      name,
      routers: [this.base],
      announceEveryMilliseconds: 200,
      tokenDelayMilliseconds: 1,
      ...this.options.standIn,
    };
  }

  private async startStandIn<T extends ModelServer | ServiceServer>(
    standIn: T,
  ): Promise<T> {
    await standIn.start();
    this.cleanups.push(() => standIn.stop());
    for (let tries = 0; tries < 100; tries++) {
      if (this.directory.get(standIn.options.name) !== undefined) {
        return standIn;
      }
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    throw new Error('timed out waiting for the announcement of the stand-in');
  }
}
