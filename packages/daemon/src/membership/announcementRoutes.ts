/**
 * @fileoverview HTTP route that receives the announcements of backend servers.
 */
import {type Announcement, validate} from '@dogwoodtrestle/schema';
import {type FastifyPluginAsync} from 'fastify';

import {operatorErrorHandler} from '../operators/operatorErrors.js';
import {BearerKey} from '../util/bearerKey.js';
import {httpError} from '../util/httpError.js';
import {type Logger, silentLogger} from '@dogwoodtrestle/runtime';
import {type Metrics, silentMetrics} from '../util/metrics.js';
import {type Membership} from './membership.js';

/** Dependencies of the announcement route. */
export interface AnnouncementRoutesOptions {
  /** Key of the backend servers; without it all announcements are refused. */
  backendKey?: string;
  membership: Pick<Membership, 'announce' | 'directory'>;
  logger?: Logger;
  metrics?: Metrics;
}

const defaultOptions = {logger: silentLogger, metrics: silentMetrics};

/** Creates the Fastify plugin that serves `POST /v1/announcements`. */
export function createAnnouncementRoutes(
  options: AnnouncementRoutesOptions,
): FastifyPluginAsync {
  const {backendKey, membership, logger, metrics} = {
    ...defaultOptions,
    ...options,
  };
  const key = backendKey === undefined ? undefined : new BearerKey(backendKey);
  return async server => {
    server.setErrorHandler(operatorErrorHandler(logger));
    server.addHook('onRequest', async request => {
      if (key?.matches(request.headers.authorization)) return;
      throw httpError(401, 'the key of backend servers is missing or wrong', {
        code: 'invalidKey',
      });
    });
    server.post('/v1/announcements', async (request, reply) => {
      const announcement = parseAnnouncement(request.body);
      const outcome = membership.announce(announcement);
      metrics.increment('backend.announcements', 1, {outcome});
      if (outcome === 'stale') throw staleError(announcement, membership);
      return reply.code(204).send();
    });
  };
}

function parseAnnouncement(body: unknown): Announcement {
  const result = validate('Announcement', body);
  if ('value' in result) return result.value;
  throw httpError(400, 'the announcement is invalid', {
    code: 'invalid',
    findings: result.findings,
  });
}

function staleError(
  {name}: Announcement,
  {directory}: Pick<Membership, 'directory'>,
): Error {
  const {incarnation, sequence} = directory.get(name)?.announcement ?? {};
  return httpError(
    409,
    `a newer announcement of '${name}' is known: incarnation ${incarnation}, sequence ${sequence}`,
    {code: 'staleAnnouncement', incarnation, sequence},
  );
}
