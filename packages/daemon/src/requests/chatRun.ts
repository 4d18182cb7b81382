/**
 * @fileoverview Runs one opened chat request to its end.
 *
 * The run writes into an answer buffer and settles the request before the
 * answer's last piece, so that a finished answer is always billed. A stream
 * that breaks is resumed where the engine can, else run again elsewhere; what
 * the caller already has is compared with the new run and skipped. Where the
 * two differ the stream ends with an error, never with a false end.
 */
import {type Context, type Span} from '@opentelemetry/api';
import {type BackendEntry, prefixBlocks} from '@dogwoodtrestle/routing';
import {
  type ModelTerms,
  type RequestOutcome,
  type Usage,
} from '@dogwoodtrestle/schema';

import {type Hop, traceparentOf} from '../observability/tracing.js';
import {type AnswerBuffer} from './answerBuffer.js';
import {attemptError, isFailedAttempt} from './attemptError.js';
import {type BackendSelector, type Prompt} from './backendSelector.js';
import {type ChatBody} from './chatBody.js';
import {type CostBound, costOf} from './costBound.js';
import {type RequestDependencies} from './dependencies.js';
import {type Explanation} from './explanations.js';
import {
  type ChatChunk,
  type EngineUsage,
  type ModelCall,
  type ModelClient,
  usageOf,
} from './modelClient.js';
import {type OpenedRequest} from './opener.js';
import {refusal, refusalBody, refusalOf} from './refusal.js';
import {type Settler} from './settler.js';
import {StreamSplicer} from './streamSplicer.js';

/** Attempts at backend servers for one request, resumptions included. */
const maximumAttempts = 4;

/** Ordinary length of a token, for estimates only. */
const charactersPerToken = 4;

/** What a run works with. */
export interface ChatRunParts {
  dependencies: RequestDependencies;
  models: ModelClient;
  selector: BackendSelector;
  settler: Settler;
}

/** One opened chat request. */
export interface ChatJob {
  requestId: string;
  body: ChatBody;
  terms: ModelTerms;
  bound: CostBound;
  priority: string;
  opened: OpenedRequest;
  answer: AnswerBuffer;
  context: Context;
  explanation: Explanation;
  /** Ends the run: the deadline, or a caller that left. */
  signal: AbortSignal;
}

interface Attempt {
  backend: BackendEntry;
  attemptId: string;
}

/** How the run of a request ended. */
interface Ending {
  outcome: RequestOutcome;
  usage?: Usage;
}

/** Runs a chat request; never rejects. */
export async function runChat(
  parts: ChatRunParts,
  job: ChatJob,
): Promise<void> {
  await new ChatRun(parts, job).run();
}

class ChatRun {
  private readonly tried = new Set<string>();
  private attempts = 0;
  /** Whether any engine may have received the request. */
  private wasSent = false;
  private last?: Attempt;
  private readonly splicer = new StreamSplicer();
  private readonly startedAt: number;
  private readonly prompt: Prompt;

  constructor(
    private readonly parts: ChatRunParts,
    private readonly job: ChatJob,
  ) {
    this.startedAt = parts.dependencies.now();
    const {model, messages} = job.body;
    const text = JSON.stringify(messages);
    this.prompt = {
      blocks: prefixBlocks(model, text),
      tokens: Math.ceil(text.length / charactersPerToken),
    };
  }

  async run(): Promise<void> {
    const {answer} = this.job;
    try {
      if (this.job.body.stream === true) await this.runStream();
      else await this.runOnce();
    } catch (error) {
      const failure = this.failureOf(error);
      this.job.explanation.add('failed', {
        code: failure.reason,
        cause: (error as Error).message,
      });
      await this.settleFailure();
      if (answer.started) {
        await this.pushError(refusalBody(failure, this.job.requestId));
      }
      answer.fail(failure);
    }
  }

  private async runOnce(): Promise<void> {
    const {job} = this;
    const body = await this.tryEach(async (call, attempt) => {
      const rest = {...call.body};
      delete rest['stream'];
      delete rest['stream_options'];
      const answer = await this.parts.models.complete({...call, body: rest});
      return {answer, attempt};
    });
    const usage = usageOf(body.answer['usage'] as EngineUsage | undefined);
    await this.settle({outcome: 'completed', usage});
    job.answer.begin({status: 200, contentType: 'application/json'});
    await job.answer.push(
      JSON.stringify({...body.answer, id: `chatcmpl-${job.requestId}`}),
    );
    job.answer.complete();
  }

  private async runStream(): Promise<void> {
    const ending = await this.tryEach(call => this.forward(call));
    await this.settle(ending);
    const {answer, body} = this.job;
    if (body.stream_options?.include_usage === true && ending.usageChunk) {
      await answer.push(this.render(ending.usageChunk));
    }
    await answer.push('data: [DONE]\n\n');
    answer.complete();
  }

  /** Makes attempts until one brings a whole answer. */
  private async tryEach<T>(
    body: (call: ModelCall, attempt: Attempt) => Promise<T>,
  ): Promise<T> {
    const {tracing} = this.parts.dependencies;
    for (;;) {
      const attempt = this.nextAttempt();
      this.last = attempt;
      const hop: Hop =
        this.attempts === 1
          ? 'router to backend server'
          : 'router to backend server: retry';
      try {
        return await tracing.run(
          hop,
          this.job.context,
          {
            'attempt.id': attempt.attemptId,
            backend: attempt.backend.announcement.name,
          },
          span => this.attempt(attempt, span, body),
        );
      } catch (error) {
        this.afterFailure(error, attempt);
      }
    }
  }

  private async attempt<T>(
    attempt: Attempt,
    span: Span,
    body: (call: ModelCall, attempt: Attempt) => Promise<T>,
  ): Promise<T> {
    const {selector} = this.parts;
    const {backend, attemptId} = attempt;
    selector.start(backend, attemptId, this.prompt.blocks);
    try {
      const result = await body(this.callOf(attempt, span), attempt);
      selector.end(backend, attemptId, 'success');
      return result;
    } catch (error) {
      selector.end(backend, attemptId, blameOf(error, this.job.signal));
      throw error;
    }
  }

  private nextAttempt(): Attempt {
    const {selector} = this.parts;
    const {job} = this;
    const target = {kind: 'model' as const, name: job.body.model};
    let choice = selector.choose(target, this.tried, this.prompt);
    if (choice.backend === undefined && this.tried.size > 0) {
      // All have failed once; a failure that has passed is worth another try.
      this.tried.clear();
      choice = selector.choose(target, this.tried, this.prompt);
    }
    job.explanation.add('choice', {
      chosen: choice.backend?.announcement.name,
      considered: choice.considered,
    });
    if (choice.backend === undefined) {
      throw refusal(this.wasSent ? 'backendFailed' : 'noBackend');
    }
    this.attempts++;
    const attemptId = `${job.requestId}.${job.opened.attempt}.${this.attempts}`;
    return {backend: choice.backend, attemptId};
  }

  /** Decides whether a failed attempt is followed by another. */
  private afterFailure(error: unknown, attempt: Attempt): void {
    const {dependencies, models, selector} = this.parts;
    if (!isFailedAttempt(error)) throw error;
    const {failure, sent} = error;
    const {name} = attempt.backend.announcement;
    this.wasSent ||= sent;
    dependencies.metrics.increment('attempts.failed', 1, {reason: failure});
    this.job.explanation.add('attempt failed', {backend: name, failure});
    this.tried.add(name);
    void models.cancel(attempt.backend, attempt.attemptId);
    if (failure === 'rejected' || failure === 'diverged') throw error;
    if (this.job.signal.aborted) throw error;
    if (this.attempts >= maximumAttempts || !selector.mayRetry()) throw error;
  }

  private callOf({backend, attemptId}: Attempt, span: Span): ModelCall {
    const {body, bound, priority, signal} = this.job;
    return {
      backend,
      attemptId,
      priority,
      signal,
      traceparent: traceparentOf(span),
      body: {
        ...body,
        max_tokens: bound.maximumOutputTokens,
        max_completion_tokens: undefined,
        ...(body.stream === true
          ? {stream_options: {...body.stream_options, include_usage: true}}
          : {}),
      },
    };
  }

  /** Forwards the chunks of one attempt, and resumes it when it breaks. */
  private async forward(
    call: ModelCall,
  ): Promise<Ending & {usageChunk?: ChatChunk}> {
    this.splicer.restart();
    let usageChunk: ChatChunk | undefined;
    let received = 0;
    let chunks = this.parts.models.stream(call);
    for (let resumed = 0; ; resumed++) {
      try {
        for await (const chunk of chunks) {
          if (chunk.usage != null) {
            usageChunk = chunk;
            if ((chunk.choices ?? []).length === 0) continue;
          }
          if (hasContent(chunk)) received++;
          const spliced = this.splicer.splice(chunk);
          if (spliced === 'diverged') {
            throw attemptError('diverged', {sent: true});
          }
          if (spliced !== undefined) await this.push(spliced);
          if (received > this.job.bound.maximumOutputTokens) {
            return await this.cutOff(call);
          }
        }
        const usage = usageOf(usageChunk?.usage);
        return {outcome: 'completed', usage, usageChunk};
      } catch (error) {
        if (resumed > 0 || !this.isResumable(error, call)) throw error;
        chunks = await this.resume(call, received);
      }
    }
  }

  private isResumable(error: unknown, {backend, signal}: ModelCall): boolean {
    if (!isFailedAttempt(error) || signal.aborted) return false;
    const {failure} = error;
    return (
      backend.announcement.features.resume &&
      (failure === 'dropped' ||
        failure === 'noTerminator' ||
        failure === 'idle')
    );
  }

  private async resume(
    call: ModelCall,
    received: number,
  ): Promise<AsyncGenerator<ChatChunk, void, void>> {
    const {dependencies, models} = this.parts;
    const attributes = {'attempt.id': call.attemptId, after: received};
    return dependencies.tracing.run(
      'router to backend server: resume',
      this.job.context,
      attributes,
      async span => {
        dependencies.metrics.increment('attempts.resumed');
        this.job.explanation.add('resume', attributes);
        return models.resume(
          {...call, traceparent: traceparentOf(span)},
          received,
        );
      },
    );
  }

  /** Ends an answer whose engine went past the output bound. */
  private async cutOff(
    call: ModelCall,
  ): Promise<Ending & {usageChunk?: ChatChunk}> {
    const {dependencies, models} = this.parts;
    dependencies.logger.warn(
      {
        requestId: this.job.requestId,
        backend: call.backend.announcement.name,
        maximumOutputTokens: this.job.bound.maximumOutputTokens,
      },
      'the engine went past the output bound',
    );
    void models.cancel(call.backend, call.attemptId);
    await this.push({
      object: 'chat.completion.chunk',
      model: this.job.body.model,
      choices: [{delta: {}, finish_reason: 'length'}],
    });
    return {outcome: 'overReported'};
  }

  private async push(chunk: ChatChunk): Promise<void> {
    const {answer} = this.job;
    if (!answer.started) {
      const {metrics, now} = this.parts.dependencies;
      metrics.timing('requests.first_byte', now() - this.startedAt);
      answer.begin({status: 200, contentType: 'text/event-stream'});
    }
    await answer.push(this.render(chunk));
  }

  /** Renders a chunk with the caller's id in place of the attempt's. */
  private render(chunk: ChatChunk): string {
    const own: ChatChunk = {...chunk, id: `chatcmpl-${this.job.requestId}`};
    if (this.job.body.stream_options?.include_usage !== true) delete own.usage;
    return `data: ${JSON.stringify(own)}\n\n`;
  }

  private async pushError(body: object): Promise<void> {
    await this.job.answer.push(`data: ${JSON.stringify(body)}\n\n`);
  }

  private async settle({outcome, usage}: Ending): Promise<void> {
    const {terms, bound, opened, context, explanation} = this.job;
    const reported =
      usage === undefined ? bound.maximumCost : costOf(terms, usage);
    const isOver = reported > bound.maximumCost || outcome === 'overReported';
    if (isOver) {
      this.parts.dependencies.logger.warn(
        {requestId: this.job.requestId, usage, bound},
        'the engine reported more than was reserved',
      );
    }
    const cost = Math.min(reported, bound.maximumCost);
    explanation.add('settlement', {outcome, usage, cost});
    await this.parts.settler.settle(
      opened,
      {
        cost,
        usage,
        outcome: isOver ? 'overReported' : outcome,
        backend: this.last?.backend.announcement.name,
        attempts: this.attempts,
      },
      context,
    );
  }

  /**
   * Settles a request whose answer did not become whole. The caller pays only
   * if it left; what the system could not finish is free.
   */
  private async settleFailure(): Promise<void> {
    const {opened, context, signal} = this.job;
    const isCancelled = signal.reason === 'callerLeft' && this.wasSent;
    const outcome: RequestOutcome = this.wasSent ? 'cutOff' : 'didNotRun';
    const billing = isCancelled
      ? await this.cancelledBilling()
      : {cost: 0, outcome};
    this.job.explanation.add('settlement', {...billing});
    await this.parts.settler.settle(
      opened,
      {
        ...billing,
        backend: this.last?.backend.announcement.name,
        attempts: this.attempts,
      },
      context,
    );
  }

  private async cancelledBilling(): Promise<{cost: number} & Ending> {
    const {terms, bound} = this.job;
    const usage = await this.reportedUsage();
    const cost = usage === undefined ? bound.unknownCost : costOf(terms, usage);
    return {
      cost: Math.min(cost, bound.maximumCost),
      usage,
      outcome: 'cancelled',
    };
  }

  private async reportedUsage(): Promise<Usage | undefined> {
    const {last} = this;
    if (last === undefined) return undefined;
    if (!last.backend.announcement.features.attemptReport) return undefined;
    await this.parts.models.cancel(last.backend, last.attemptId);
    const report = await this.parts.models.report(last.backend, last.attemptId);
    return usageOf(report?.usage);
  }

  private failureOf(error: unknown): ReturnType<typeof refusal> {
    if (this.job.signal.aborted) return refusal('deadlineExceeded');
    if (!isFailedAttempt(error)) return refusalOf(error);
    const {failure, status, body} = error;
    if (failure === 'rejected') {
      return refusal('invalidRequest', {
        message: `The model engine rejected the request (status ${status}): ${body?.slice(0, 500) ?? ''}`,
      });
    }
    return refusal(this.wasSent ? 'backendFailed' : 'noBackend');
  }
}

/** Whether a chunk carries a part of the answer: at least one token. */
function hasContent({choices}: ChatChunk): boolean {
  const delta = choices?.[0]?.delta;
  return Boolean(delta?.content) || delta?.tool_calls !== undefined;
}

/** Tells failures of the backend server from those of the caller. */
function blameOf(error: unknown, signal: AbortSignal): 'failure' | 'neutral' {
  if (!isFailedAttempt(error) || signal.aborted) return 'neutral';
  const {failure} = error;
  return failure === 'rejected' ? 'neutral' : 'failure';
}
