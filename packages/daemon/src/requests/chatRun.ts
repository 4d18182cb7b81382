/**
 * @fileoverview Runs one opened chat request to completion.
 *
 * The run writes to a response buffer and settles the request before it writes
 * the last chunk, so that a complete response is always billed. An interrupted
 * stream is resumed if the model engine supports that; otherwise the request
 * is retried on another backend server. The text of a retry is compared with
 * the text that the caller has already received, which is not sent again. If
 * the two differ, the stream ends with an error and without `[DONE]`.
 */
import {type Span} from '@opentelemetry/api';
import {hashPrefixBlocks} from '@dogwoodtrestle/routing';

import {type Hop, traceparentOf} from '../observability/tracing.js';
import {pause} from '../util/pause.js';
import {isFailedAttempt} from './attemptError.js';
import {chatAttemptId, maximumChatAttempts} from './attemptIds.js';
import {type PromptSummary} from './backendSelector.js';
import {ChatBilling} from './chatBilling.js';
import {
  type AbortReason,
  type ChatAttempt,
  type ChatJob,
  type ChatProgress,
  type ChatRunParts,
} from './chatJob.js';
import {type EngineUsage, type ModelCall, usageOf} from './modelClient.js';
import {
  refusal,
  refusalBody,
  refusalOf,
  type RefusalReason,
} from './refusal.js';
import {StreamForwarder} from './streamForwarder.js';

/** Average length of a token; used for estimates only. */
const charactersPerToken = 4;

/** Longest time that an error waits for the settlement, in milliseconds. */
const maximumSettlementWaitMilliseconds = 250;

/** Refusal reasons by abort reason. */
const refusalsByAbortReason: Record<AbortReason, RefusalReason> = {
  deadline: 'deadlineExceeded',
  callerLeft: 'callerLeft',
};

/** Runs a chat request; never rejects. */
export async function runChat(
  parts: ChatRunParts,
  job: ChatJob,
): Promise<void> {
  await new ChatRun(parts, job).run();
}

class ChatRun {
  private readonly triedBackends = new Set<string>();
  private readonly progress: ChatProgress = {attempts: 0, wasSent: false};
  private readonly billing: ChatBilling;
  private readonly forwarder: StreamForwarder;
  private readonly prompt: PromptSummary;

  constructor(
    private readonly parts: ChatRunParts,
    private readonly job: ChatJob,
  ) {
    this.billing = new ChatBilling(parts, job, this.progress);
    this.forwarder = new StreamForwarder(parts, job);
    const {model, messages} = job.body;
    const text = JSON.stringify(messages);
    this.prompt = {
      blocks: hashPrefixBlocks(model, text),
      tokens: Math.ceil(text.length / charactersPerToken),
    };
  }

  async run(): Promise<void> {
    const {answer} = this.job;
    try {
      if (this.job.body.stream === true) await this.runStream();
      else await this.runNonStreaming();
    } catch (error) {
      const failure = this.refusalForFailure(error);
      this.job.explanation.add('failed', {
        code: failure.reason,
        cause: (error as Error).message,
      });
      // Settling first lets a retry run at once, but must not delay the error.
      const isSettled = this.billing.settleFailure();
      await Promise.race([isSettled, pause(maximumSettlementWaitMilliseconds)]);
      if (answer.started) {
        const body = refusalBody(failure, this.job.requestId);
        await answer.push(`data: ${JSON.stringify(body)}\n\n`);
      }
      answer.fail(failure);
      await isSettled;
    }
  }

  private async runNonStreaming(): Promise<void> {
    const {job} = this;
    const result = await this.runAttempts(async (call, attempt) => {
      const rest = {...call.body};
      delete rest['stream'];
      delete rest['stream_options'];
      const answer = await this.parts.models.complete({...call, body: rest});
      return {answer, attempt};
    });
    const usage = usageOf(result.answer['usage'] as EngineUsage | undefined);
    await this.billing.settle({outcome: 'completed', usage});
    job.answer.completeWith({
      status: 200,
      contentType: 'application/json',
      body: JSON.stringify({
        ...result.answer,
        id: `chatcmpl-${job.requestId}`,
      }),
    });
  }

  private async runStream(): Promise<void> {
    const result = await this.runAttempts(call => this.forwarder.forward(call));
    await this.billing.settle(result);
    await this.forwarder.finish(result);
  }

  /** Makes attempts until one yields a complete response. */
  private async runAttempts<T>(
    send: (call: ModelCall, attempt: ChatAttempt) => Promise<T>,
  ): Promise<T> {
    const {tracing} = this.parts.dependencies;
    for (;;) {
      const attempt = this.nextAttempt();
      this.progress.last = attempt;
      const hop: Hop =
        this.progress.attempts === 1
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
          span => this.runAttempt(attempt, span, send),
        );
      } catch (error) {
        this.handleFailure(error, attempt);
      }
    }
  }

  private async runAttempt<T>(
    attempt: ChatAttempt,
    span: Span,
    send: (call: ModelCall, attempt: ChatAttempt) => Promise<T>,
  ): Promise<T> {
    const {selector} = this.parts;
    const {backend, attemptId} = attempt;
    selector.recordStart(backend, attemptId, this.prompt.blocks);
    try {
      const result = await send(this.modelCallOf(attempt, span), attempt);
      selector.recordEnd(backend, attemptId, 'success');
      return result;
    } catch (error) {
      selector.recordEnd(
        backend,
        attemptId,
        attemptOutcome(error, this.job.signal),
      );
      throw error;
    }
  }

  private nextAttempt(): ChatAttempt {
    const {selector} = this.parts;
    const {job} = this;
    const target = {kind: 'model' as const, name: job.body.model};
    let choice = selector.choose(target, this.triedBackends, this.prompt);
    if (choice.backend === undefined && this.triedBackends.size > 0) {
      // Every server has failed once; the failures may have been transient.
      this.triedBackends.clear();
      choice = selector.choose(target, this.triedBackends, this.prompt);
    }
    job.explanation.add('choice', {
      chosen: choice.backend?.announcement.name,
      considered: choice.considered,
    });
    if (choice.backend === undefined) {
      throw refusal(this.progress.wasSent ? 'backendFailed' : 'noBackend');
    }
    this.progress.attempts++;
    const attemptId = chatAttemptId(job.opened, this.progress.attempts);
    return {backend: choice.backend, attemptId};
  }

  /** Records a failed attempt; throws its error if no other may follow. */
  private handleFailure(error: unknown, attempt: ChatAttempt): void {
    const {dependencies, models, selector} = this.parts;
    if (!isFailedAttempt(error)) throw error;
    const {failure, sent} = error;
    const {name} = attempt.backend.announcement;
    this.progress.wasSent ||= sent;
    dependencies.metrics.increment('attempts.failed', 1, {reason: failure});
    this.job.explanation.add('attempt failed', {backend: name, failure});
    this.triedBackends.add(name);
    void models.cancel(attempt.backend, attempt.attemptId);
    if (failure === 'rejected' || failure === 'diverged') throw error;
    if (this.job.signal.aborted) throw error;
    if (this.progress.attempts >= maximumChatAttempts || !selector.mayRetry()) {
      throw error;
    }
  }

  private modelCallOf(
    {backend, attemptId}: ChatAttempt,
    span: Span,
  ): ModelCall {
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

  private refusalForFailure(error: unknown): ReturnType<typeof refusal> {
    const {signal} = this.job;
    if (signal.aborted) {
      return refusal(refusalsByAbortReason[signal.reason as AbortReason]);
    }
    if (!isFailedAttempt(error)) return refusalOf(error);
    const {failure, status, body} = error;
    if (failure === 'rejected') {
      return refusal('invalidRequest', {
        message: `The model engine rejected the request (status ${status}): ${body?.slice(0, 500) ?? ''}`,
      });
    }
    return refusal(this.progress.wasSent ? 'backendFailed' : 'noBackend');
  }
}

/**
 * Returns the outcome of a failed attempt for outlier detection: `neutral` if
 * the backend server did not cause the failure.
 */
function attemptOutcome(
  error: unknown,
  signal: AbortSignal,
): 'failure' | 'neutral' {
  if (!isFailedAttempt(error) || signal.aborted) return 'neutral';
  const {failure} = error;
  return failure === 'rejected' ? 'neutral' : 'failure';
}
