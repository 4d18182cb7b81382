/**
 * @fileoverview Converts errors into HTTP responses of the operator API.
 */
import {type FastifyReply, type FastifyRequest} from 'fastify';

import {crowdedCode} from '../bodyLimits.js';
import {QuorumUnreachableError} from '../ledgerClient/quorumUnreachableError.js';
import {HttpError, httpError} from '../util/httpError.js';
import {type Logger} from '@dogwoodtrestle/runtime';

/** Codes in responses, by the codes of Fastify's own errors. */
const bodyErrors: Record<string, string> = {
  FST_ERR_CTP_BODY_TOO_LARGE: 'bodyTooLarge',
  FST_ERR_CTP_EMPTY_JSON_BODY: 'invalidJson',
  FST_ERR_CTP_INVALID_JSON_BODY: 'invalidJson',
  FST_ERR_CTP_INVALID_MEDIA_TYPE: 'unsupportedMediaType',
};

/** Returns a Fastify error handler that logs errors with a 5xx status. */
export function operatorErrorHandler(
  logger: Logger,
): (error: unknown, request: FastifyRequest, reply: FastifyReply) => void {
  return (error, request, reply) => {
    const {status, message, detail} = translate(error);
    if (status >= 500) {
      logger.error({err: error, url: request.url}, 'operator call failed');
    }
    void reply.code(status).send({error: {message, ...detail}});
  };
}

function translate(error: unknown): HttpError {
  if (error instanceof HttpError) return error;
  if (error instanceof QuorumUnreachableError) return unreachableError(error);
  const {code = '', statusCode = 500, message} = error as FastifyFailure;
  if (statusCode < 500) {
    return httpError(statusCode, message, {
      code: bodyErrors[code] ?? 'badRequest',
    });
  }
  if (code === crowdedCode) {
    return httpError(503, message, {code: 'overloaded'});
  }
  return httpError(500, 'internal error', {code: 'internal'});
}

interface FastifyFailure {
  code?: string;
  statusCode?: number;
  message: string;
}

/** Messages by whether the command may have reached the quorum. */
const unreachableMessages = {
  notSent: "the ledger's quorum can't be reached; nothing was changed",
  unknown:
    "the ledger's quorum didn't answer; the change may have been made, ask for it by its change id or send it again with the same id",
};

function unreachableError({outcome}: QuorumUnreachableError): HttpError {
  return httpError(503, unreachableMessages[outcome], {
    code: 'quorumUnreachable',
    outcome,
  });
}
