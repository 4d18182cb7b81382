/**
 * @fileoverview A stand-in for a model server: answers each request with a
 * stream of events, and goes on after `Last-Event-Id` where it is named.
 */
import http from 'node:http';
import {setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';

import {Announcer} from './fleet.mjs';

const prefix = 'x-dogwoodtrestle-';

/** One model server on a loopback address. */
export class ModelServer {
  /**
   * @param options `formatEvent` returns the text of an event by its number,
   *     `eventMilliseconds` is the time between events, `firstMilliseconds` that
   *     before the first one; `onBegin` is called when a run begins.
   */
  constructor(fleet, id, service, options = {}) {
    Object.assign(this, {fleet, id, service});
    this.options = {
      events: 10,
      eventMilliseconds: 20,
      firstMilliseconds: 20,
      formatEvent: number => `id: ${number}\ndata: word ${number}\n\n`,
      ...options,
    };
    this.sockets = new Set();
    this.runs = [];
    fleet.servers.push(this);
  }

  async start() {
    await this.listen(0);
    this.announce();
  }

  /** Starts again at the same address, as a new incarnation with the same id. */
  async restart() {
    if (this.fleet.isStopping) return;
    await this.listen(this.port);
    this.isDown = false;
    this.announce();
  }

  announce() {
    this.announcer = new Announcer(this.fleet, {
      id: this.id,
      service: this.service,
      address: `127.0.0.1:${this.port}`,
      slots: 128,
      models: [{name: 'm', version: 1, adapters: []}],
    });
    this.announcer.start();
  }

  async listen(port) {
    this.server = http.createServer((request, response) => {
      void this.handle(request, response);
    });
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('error', () => {});
      socket.on('close', () => this.sockets.delete(socket));
    });
    await new Promise(resolve =>
      this.server.listen(port, '127.0.0.1', resolve),
    );
    this.port = this.server.address().port;
  }

  /** Crashes: all connections are reset, and nothing listens any more. */
  crash() {
    this.isDown = true;
    this.announcer.stop();
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  stop() {
    this.isDown = true;
    this.announcer?.stop();
    this.server?.close();
    for (const socket of this.sockets) socket.destroy();
  }

  async handle(request, response) {
    const {options} = this;
    request.resume();
    await new Promise(resolve => request.on('end', resolve));
    const attempt = request.headers[`${prefix}attempt-id`] ?? '';
    const expected = request.headers[`${prefix}expected-instance`];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {'content-length': 0});
      response.end();
      return;
    }
    const after = Number(request.headers['last-event-id'] ?? 0);
    const run = {
      attempt,
      lastEventId: request.headers['last-event-id'],
      parts: String(request.headers[`${prefix}prompt-prefix`] ?? ''),
      events: 0,
      hasBegun: false,
    };
    this.runs.push(run);
    response.on('close', () => {
      run.isDropped = true;
    });
    await sleep(options.firstMilliseconds);
    for (let number = after + 1; number <= options.events; number++) {
      if (run.isDropped || this.isDown) return;
      if (!run.hasBegun) {
        run.hasBegun = true;
        options.onBegin?.(this, run);
        if (this.isDown) return;
        response.writeHead(200, {
          'content-type': 'text/event-stream',
          [`${prefix}attempt-id`]: attempt,
          [`${prefix}response-signature`]: `${this.id}.${attempt}`,
        });
      }
      response.write(options.formatEvent(number));
      run.events = number;
      await sleep(options.eventMilliseconds);
    }
    response.end();
  }
}

/**
 * Sends one request for a stream, and collects the answer.
 */
export function sendStream(
  {host, port},
  {path, hostName, key, attempt, counts, parts, remaining = 12_000, body = 'x'},
) {
  return new Promise(resolve => {
    const answer = {status: 0, text: '', isComplete: false};
    const request = http.request(
      {
        host,
        port,
        method: 'POST',
        path,
        agent: false,
        headers: {
          host: hostName,
          [`${prefix}attempt-id`]: attempt,
          [`${prefix}model`]: 'm',
          [`${prefix}token-counts`]: counts,
          [`${prefix}prompt-prefix`]: parts,
          [`${prefix}time-remaining`]: String(remaining),
          [`${prefix}key`]: key,
          'content-length': Buffer.byteLength(body),
        },
      },
      response => {
        answer.status = response.statusCode;
        answer.retryAfter = response.headers['retry-after'];
        response.on('data', data => {
          answer.text += data.toString('latin1');
        });
        response.on('end', () => {
          answer.isComplete = response.complete;
          resolve(answer);
        });
        response.on('error', () => resolve(answer));
      },
    );
    request.on('error', () => resolve(answer));
    setTimeout(() => request.destroy(), remaining + 1_000).unref();
    request.end(body);
  });
}
