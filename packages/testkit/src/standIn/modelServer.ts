/**
 * @fileoverview Stand-in model server: chat completions as JSON or as a stream,
 * attempt reports, and resuming and cancelling of attempts.
 */
import {type ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

import {type FastifyReply, type FastifyRequest} from 'fastify';

import {responseTokens, countPromptTokens} from './responseText.js';
import {Generation} from './generation.js';
import {type FailureMode, type StandInOptions} from './options.js';
import {type BackendDescription, StandInBase} from './standInBase.js';

interface ChatBody {
  model: string;
  messages: Array<{role: string; content: string}>;
  stream?: boolean;
  max_tokens?: number;
  max_completion_tokens?: number;
}

const hangMilliseconds = 600_000;
/** Time for written chunks to reach the peer before the connection ends. */
const flushMilliseconds = 20;

/** A model server that supports resuming, cancelling and attempt reports. */
export class ModelServer extends StandInBase {
  private readonly generations = new Map<string, Generation>();

  constructor(options: StandInOptions) {
    super(options);
    this.server.post('/v1/chat/completions', (request, reply) =>
      this.countWhileRunning(() => this.complete(request, reply)),
    );
    this.server.get('/v1/attempts/:attempt', (request, reply) => {
      const generation = this.findGeneration(request);
      if (generation === undefined) return reply.code(404).send({});
      return {state: generation.state, usage: generation.usage()};
    });
    this.server.delete('/v1/attempts/:attempt', (request, reply) => {
      this.findGeneration(request)?.cancel();
      return reply.code(204).send();
    });
    this.server.get('/v1/attempts/:attempt/stream', (request, reply) =>
      this.countWhileRunning(() => this.resume(request, reply)),
    );
  }

  protected override describe(): BackendDescription {
    return {
      kind: 'model',
      models: [{name: this.options.model, adapters: []}],
      features: {
        priorities: true,
        resume: true,
        cancel: true,
        attemptReport: true,
      },
    };
  }

  private async complete(
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<unknown> {
    const {attempt, failure} = this.recordCall(request);
    if (failure.kind === 'hang') await sleep(hangMilliseconds);
    if (failure.kind === 'dropBeforeRun') return this.drop(request, reply);
    const body = request.body as ChatBody;
    const generation = this.startGeneration(attempt, body, failure);
    reply.header('x-attempt-id', echoedAttemptId(attempt, failure));
    if (body.stream === true) {
      return this.stream(reply, generation, 0, body.model, failure);
    }
    const tokens: string[] = [];
    for await (const token of generation.follow(0)) tokens.push(token);
    if (failure.kind === 'dropAfterRun') return this.drop(request, reply);
    return {
      id: echoedAttemptId(attempt, failure),
      object: 'chat.completion',
      created: Math.floor(Date.now() / 1000),
      model: body.model,
      choices: [
        {
          index: 0,
          message: {role: 'assistant', content: tokens.join('')},
          finish_reason: generation.finishReason,
        },
      ],
      usage: generation.usage(usageFactor(failure)),
    };
  }

  private startGeneration(
    attempt: string,
    body: ChatBody,
    failure: FailureMode,
  ): Generation {
    const prompt = body.messages.map(message => message.content).join('\n');
    const maximumTokens =
      body.max_tokens ?? body.max_completion_tokens ?? Infinity;
    // Simulates a response to another prompt with the same number of words.
    const effectivePrompt =
      failure.kind === 'crossedId' ? `Another prompt. ${prompt}` : prompt;
    const tokens = responseTokens(effectivePrompt, maximumTokens);
    const generation = new Generation(
      attempt,
      tokens,
      countPromptTokens(prompt),
      tokens.length >= maximumTokens ? 'length' : 'stop',
    );
    this.generations.set(attempt, generation);
    void generation.run(() =>
      failure.kind === 'slow'
        ? failure.milliseconds
        : this.options.tokenDelayMilliseconds,
    );
    return generation;
  }

  private async resume(
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<unknown> {
    const generation = this.findGeneration(request);
    if (generation === undefined) return reply.code(404).send({});
    const {failure} = this.recordCall(request);
    const {after} = request.query as {after?: string};
    reply.header('x-attempt-id', echoedAttemptId(generation.attempt, failure));
    const {model} = this.options;
    return this.stream(reply, generation, Number(after ?? 0), model, failure);
  }

  private async stream(
    reply: FastifyReply,
    generation: Generation,
    after: number,
    model: string,
    failure: FailureMode,
  ): Promise<void> {
    reply.hijack();
    const {raw} = reply;
    raw.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-attempt-id': echoedAttemptId(generation.attempt, failure),
    });
    const chunk = (fields: object) =>
      `data: ${JSON.stringify({
        id: echoedAttemptId(generation.attempt, failure),
        object: 'chat.completion.chunk',
        created: Math.floor(Date.now() / 1000),
        model,
        ...fields,
      })}\n\n`;
    const choice = (delta: object, finishReason: string | null) =>
      chunk({choices: [{index: 0, delta, finish_reason: finishReason}]});
    let sentChunks = 0;
    for await (const content of generation.follow(after)) {
      raw.write(choice({role: 'assistant', content}, null));
      sentChunks++;
      await this.injectStreamFailure(sentChunks, raw, failure);
      if (raw.destroyed || raw.writableEnded) return;
    }
    if (failure.kind === 'noTerminator') return void raw.end();
    raw.write(choice({}, generation.finishReason));
    raw.write(
      chunk({choices: [], usage: generation.usage(usageFactor(failure))}),
    );
    raw.end('data: [DONE]\n\n');
  }

  /** Ends the connection or the process if the failure mode says so. */
  private async injectStreamFailure(
    sentChunks: number,
    raw: ServerResponse,
    failure: FailureMode,
  ): Promise<void> {
    if (failure.kind === 'endAfterFirstChunk') return void raw.end();
    const exits =
      failure.kind === 'exitAfterChunks' && sentChunks >= failure.chunks;
    if (!exits && failure.kind !== 'dropAfterFirstChunk') return;
    await sleep(flushMilliseconds);
    if (exits) process.kill(process.pid, 'SIGKILL');
    raw.destroy();
  }

  private findGeneration(request: FastifyRequest): Generation | undefined {
    const {attempt} = request.params as {attempt: string};
    return this.generations.get(attempt);
  }
}

function echoedAttemptId(attempt: string, failure: FailureMode): string {
  return failure.kind === 'crossedId' ? `crossed-${attempt}` : attempt;
}

function usageFactor(failure: FailureMode): number {
  return failure.kind === 'overReport' ? failure.factor : 1;
}
