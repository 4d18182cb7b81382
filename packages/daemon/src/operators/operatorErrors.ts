/**
 * @fileoverview Turns errors of the operator API into HTTP answers.
 */
import {type FastifyReply, type FastifyRequest} from 'fastify';

import {QuorumUnreachableError} from '../ledgerClient/quorumUnreachableError.js';
import {HttpError, httpError} from '../util/httpError.js';
import {type Logger} from '@dogwoodtrestle/runtime';

/** Codes of Fastify's own errors, by the code that callers see. */
const bodyErrors: Record<string, string> = {
  FST_ERR_CTP_BODY_TOO_LARGE: 'bodyTooLarge',
  FST_ERR_CTP_EMPTY_JSON_BODY: 'invalidJson',
  FST_ERR_CTP_INVALID_JSON_BODY: 'invalidJson',
  FST_ERR_CTP_INVALID_MEDIA_TYPE: 'unsupportedMediaType',
};

/** Returns an error handler for Fastify. */
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
  if (error instanceof QuorumUnreachableError) return unreachable(error);
  const {code = '', statusCode = 500, message} = error as FastifyFailure;
  if (statusCode < 500) {
    return httpError(statusCode, message, {
      code: bodyErrors[code] ?? 'badRequest',
    });
  }
  return httpError(500, 'internal error', {code: 'internal'});
}

interface FastifyFailure {
  code?: string;
  statusCode?: number;
  message: string;
}

/** What an operator may conclude, by what is known of the command. */
const unreachableMessages = {
  notSent: "the ledger's quorum can't be reached; nothing was changed",
  unknown:
    "the ledger's quorum didn't answer; the change may have been made, ask for it by its change id or send it again with the same id",
};

function unreachable({outcome}: QuorumUnreachableError): HttpError {
  return httpError(503, unreachableMessages[outcome], {
    code: 'quorumUnreachable',
    outcome,
  });
}
