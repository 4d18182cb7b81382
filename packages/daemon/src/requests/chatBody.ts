/**
 * @fileoverview Validates the body of a chat request.
 *
 * Only the fields that affect routing and cost are validated; all others are
 * passed to the model engine unchanged.
 */
import {refusal} from './refusal.js';

/** Body of a chat request. */
export interface ChatBody extends Record<string, unknown> {
  model: string;
  messages: Record<string, unknown>[];
  stream?: boolean;
  stream_options?: {include_usage?: boolean};
  max_tokens?: number;
  max_completion_tokens?: number;
}

/** Returns the message of a finding, or `undefined` for a valid field. */
type FieldCheck = (body: Record<string, unknown>) => string | undefined;

/** Checks by the name of the field that they validate. */
const fieldChecks: Record<string, FieldCheck> = {
  model: ({model}) =>
    typeof model === 'string' && model !== ''
      ? undefined
      : 'model must be a non-empty string',
  messages: ({messages}) =>
    Array.isArray(messages) &&
    messages.length > 0 &&
    messages.every(message => message !== null && typeof message === 'object')
      ? undefined
      : 'messages must be a non-empty array of objects',
  stream: ({stream}) =>
    stream == null || typeof stream === 'boolean'
      ? undefined
      : 'stream must be a boolean',
  max_tokens: body => checkTokens('max_tokens', body['max_tokens']),
  max_completion_tokens: body =>
    checkTokens('max_completion_tokens', body['max_completion_tokens']),
  n: ({n}) =>
    n == null || n === 1 ? undefined : 'only one choice (n = 1) is supported',
  stream_options: ({stream_options: options}) =>
    options == null || typeof options === 'object'
      ? undefined
      : 'stream_options must be an object',
};

/**
 * Validates the body of a chat request and returns it.
 *
 * @throws RefusalError with the code `invalidRequest` and all findings, or with
 *     `unsupportedContent`.
 */
export function parseChatBody(body: unknown): ChatBody {
  if (body === null || typeof body !== 'object' || Array.isArray(body)) {
    throw refusal('invalidRequest', {message: 'The body must be an object.'});
  }
  const fields = body as Record<string, unknown>;
  const findings = Object.entries(fieldChecks).flatMap(([field, check]) => {
    const message = check(fields);
    return message === undefined ? [] : [{field, message}];
  });
  if (findings.length > 0) {
    throw refusal('invalidRequest', {
      message: `${findings.map(finding => finding.message).join('; ')}.`,
      param: findings[0]?.field,
    });
  }
  const chat = fields as ChatBody;
  checkContent(chat);
  return chat;
}

function checkTokens(field: string, value: unknown): string | undefined {
  return value == null || (Number.isInteger(value) && (value as number) > 0)
    ? undefined
    : `${field} must be a positive integer`;
}

/** Refuses content whose token count is not bounded by its size in bytes. */
function checkContent(body: ChatBody): void {
  body.messages.forEach((message, index) => {
    const {content} = message;
    if (!Array.isArray(content)) return;
    const isText = content.every(
      (part: unknown) => (part as {type?: unknown} | null)?.type === 'text',
    );
    if (!isText) {
      throw refusal('unsupportedContent', {param: `messages.${index}.content`});
    }
  });
}
