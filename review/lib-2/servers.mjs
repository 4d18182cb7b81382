/**
 * @fileoverview Stand-in servers of the platform: they announce themselves, run
 * requests one at a time on a connection, and answer as the pages say.
 */
import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

const heartbeatMilliseconds = 1_200;

/** Wire names of headers. */
export const names = {
  attempt: 'x-dogwoodtrestle-attempt-id',
  instance: 'x-dogwoodtrestle-expected-instance',
  signature: 'X-Dogwoodtrestle-Response-Signature',
  notExecuted: 'X-Dogwoodtrestle-Not-Executed',
};

/** One incarnation of a server. */
export class Server {
  constructor(
    fleet,
    {id, service, host, port = 8080, slots = 8, sequence = 1, born, answer},
  ) {
    Object.assign(this, {fleet, id, service, host, port, slots, sequence});
    this.born = born ?? Date.now();
    this.answer = answer;
    /** Attempt ids of the requests that it ran. */
    this.ran = [];
    this.isLeft = false;
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  async start() {
    this.http = http.createServer((request, response) => {
      void this.receive(request, response);
    });
    this.http.keepAliveTimeout = 10_000;
    await new Promise((resolve, reject) => {
      this.http.once('error', reject);
      this.http.listen(this.port, this.host, resolve);
    });
    this.fleet.record.write(`server ${this.id} (${this.service}) starts`);
    this.isBeating = true;
    void this.beatAtIntervals();
  }

  /** Announces itself at one daemon after another until one acknowledges it. */
  async beat(fields = {}) {
    const {service, address, slots, born} = this;
    for (const machine of shuffled(this.fleet.controls)) {
      const {status} = await this.fleet.control(
        machine,
        'POST',
        `/Instances.Heartbeat/${this.id}`,
        {
          service,
          address,
          zone: 'zone-1',
          version: 'v1',
          slots,
          state: 'ready',
          coldRemainingMs: 0,
          sequence: ++this.sequence,
          born,
          ...fields,
        },
      );
      if (status === 200) return true;
    }
    return false;
  }

  async beatAtIntervals() {
    while (this.isBeating) {
      await this.beat();
      await sleep(heartbeatMilliseconds);
    }
  }

  async receive(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return; // The connection ended before the request did.
    }
    const attempt = request.headers[names.attempt];
    const expected = request.headers[names.instance];
    const {record} = this.fleet;
    if (expected !== undefined && expected !== this.id) {
      record.write(`server ${this.id} answers ${attempt}: 421`);
      response.writeHead(421, {[names.notExecuted]: '1'}).end();
      return;
    }
    if (request.url === '/health') {
      response.writeHead(200, {'X-Dogwoodtrestle-Instance-Id': this.id}).end();
      return;
    }
    const body = Buffer.concat(chunks);
    this.ran.push(attempt);
    record.write(`server ${this.id} runs ${attempt}`);
    if (this.answer !== undefined) {
      await this.answer(this, {request, response, attempt, body});
      return;
    }
    response.writeHead(200, {
      [names.attempt]: attempt,
      [names.signature]: `${this.id}.${attempt}`,
    });
    response.end(`answer of ${this.id} to ${attempt}`);
  }

  stop() {
    this.isBeating = false;
    this.http?.close();
    this.http?.closeAllConnections();
  }
}

function shuffled(items) {
  return [...items].sort(() => Math.random() - 0.5);
}

/** Returns a configuration with one service and two routes, or with others. */
export function configuration(fields = {}) {
  return {
    version: 7,
    routes: [
      route('r-book', '/book/', 'non_idempotent', 1),
      route('r-read', '/read/', 'idempotent', 2),
    ],
    services: [
      {
        name: 'desk',
        healthPath: '/health',
        maxConnections: 96,
        protocol: 'h1',
        tls: false,
      },
    ],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [
      {name: 'tenant-1', apiKeys: ['key-1'], priority: 1, prepaid: 1_000_000},
    ],
    ...fields,
  };
}

/** Returns a route. */
export function route(name, pathPrefix, kind, attempts, fields = {}) {
  return {
    name,
    host: 'a.example',
    pathPrefix,
    kind,
    timeoutMs: 2_000,
    latencyGoalMs: 300,
    priority: 1,
    service: 'desk',
    attempts,
    public: false,
    sticky: false,
    resumable: false,
    ...fields,
  };
}

/** Returns the headers of a client's request. */
export function clientHeaders(attempt, fields = {}) {
  return {
    Host: 'a.example',
    'X-Dogwoodtrestle-Attempt-Id': attempt,
    'X-Dogwoodtrestle-Time-Remaining': '4000',
    'X-Dogwoodtrestle-Key': 'key-1',
    ...fields,
  };
}
