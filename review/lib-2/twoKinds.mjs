/**
 * @fileoverview Two kinds of requests, each for a service of its own, and the check
 * whether one of them is starved.
 */
import {sleep} from './fleet.mjs';
import {clientHeaders, configuration, route, Server} from './servers.mjs';

/** Part of what all requests are served, below which a kind is starved. */
const starvedPart = 0.25;

const targets = ['/read/', '/look/'];

/** Returns a configuration with the services `desk` and `lookup`. */
export function twoKindsConfiguration() {
  const {services} = configuration();
  const [desk] = services;
  return configuration({
    routes: [
      route('r-read', '/read/', 'idempotent', 2),
      route('r-look', '/look/', 'idempotent', 2, {service: 'lookup'}),
    ],
    services: [desk, {...desk, name: 'lookup'}],
  });
}

/** Returns two servers of each service. */
export function createServers(fleet) {
  const create = (id, service, number) =>
    new Server(fleet, {id, service, host: `${fleet.network}.${number}`});
  return {
    desks: [create('i-1', 'desk', 101), create('i-2', 'desk', 102)],
    lookups: [create('i-3', 'lookup', 103), create('i-4', 'lookup', 104)],
  };
}

/** Sends requests of both kinds in turn; returns how many of each are served. */
export async function countServed(fleet, record, {name, milliseconds}) {
  const counts = targets.map(target => ({target, sent: 0, served: 0}));
  const until = Date.now() + milliseconds;
  for (let number = 0; Date.now() < until; number++) {
    const router = fleet.routers[number % fleet.routers.length];
    for (const [kind, count] of counts.entries()) {
      const attempt = `${name}-${number}-${kind}`;
      const {status, body} = await fleet.request(router, {
        path: `${count.target}1`,
        headers: clientHeaders(attempt),
        milliseconds: 4_000,
      });
      const reason = status === 200 ? '' : body.trim();
      record.write(`client gets ${status} to ${attempt} ${reason}`);
      count.sent++;
      if (status === 200) count.served++;
    }
    await sleep(200);
  }
  const texts = counts.map(
    ({target, sent, served}) => `${target} ${served} of ${sent} served`,
  );
  record.write(`${name}: ${texts.join(', ')}`);
  return counts;
}

/** Returns the kinds that are served too seldom. */
export function findStarved(counts) {
  const sent = counts.reduce((sum, count) => sum + count.sent, 0);
  const served = counts.reduce((sum, count) => sum + count.served, 0);
  const least = starvedPart * (served / sent);
  return counts
    .filter(count => served === 0 || count.served / count.sent < least)
    .map(
      count =>
        `Starved: ${count.target} ${count.served} of ${count.sent} served`,
    );
}
