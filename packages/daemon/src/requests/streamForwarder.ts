/**
 * @fileoverview Forwards the streams of several attempts to one response.
 *
 * An interrupted stream is resumed if the model engine supports that. The text
 * of another attempt is compared with the text that the caller has already
 * received, and only the rest is sent.
 */
import {
  attemptError,
  type AttemptFailure,
  isFailedAttempt,
} from './attemptError.js';
import {type ChatResult, type ChatJob, type ChatRunParts} from './chatJob.js';
import {type ChatChunk, type ModelCall, usageOf} from './modelClient.js';
import {traceparentOf} from '../observability/tracing.js';
import {StreamSplicer} from './streamSplicer.js';

/** Result of a stream, with the chunk that reported its usage. */
export type StreamResult = ChatResult & {usageChunk?: ChatChunk};

/** Failures after which the engine may still be able to resume a stream. */
const resumableFailures: ReadonlySet<AttemptFailure> = new Set([
  'dropped',
  'noTerminator',
  'idle',
]);

/** Forwards streams to one response. */
export class StreamForwarder {
  private readonly splicer = new StreamSplicer();
  private readonly startedAt: number;

  constructor(
    private readonly parts: ChatRunParts,
    private readonly job: ChatJob,
  ) {
    this.startedAt = parts.dependencies.now();
  }

  /** Forwards the chunks of one attempt and resumes its stream at most once. */
  async forward(call: ModelCall): Promise<StreamResult> {
    this.splicer.restart();
    let usageChunk: ChatChunk | undefined;
    let received = 0;
    let chunks = this.parts.models.stream(call);
    for (let resumptions = 0; ; resumptions++) {
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
            return await this.stopAtOutputBound(call);
          }
        }
        const usage = usageOf(usageChunk?.usage);
        return {outcome: 'completed', usage, usageChunk};
      } catch (error) {
        if (resumptions > 0 || !this.isResumable(error, call)) throw error;
        chunks = await this.resume(call, received);
      }
    }
  }

  private isResumable(error: unknown, {backend, signal}: ModelCall): boolean {
    if (!isFailedAttempt(error) || signal.aborted) return false;
    const {resume} = backend.announcement.features;
    return resume && resumableFailures.has(error.failure);
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

  /** Ends a response that exceeds the bound of output tokens. */
  private async stopAtOutputBound(call: ModelCall): Promise<StreamResult> {
    const {dependencies, models} = this.parts;
    dependencies.logger.warn(
      {
        requestId: this.job.requestId,
        backend: call.backend.announcement.name,
        maximumOutputTokens: this.job.bound.maximumOutputTokens,
      },
      'backend server exceeded the bound of output tokens',
    );
    void models.cancel(call.backend, call.attemptId);
    await this.push({
      object: 'chat.completion.chunk',
      model: this.job.body.model,
      choices: [{delta: {}, finish_reason: 'length'}],
    });
    return {outcome: 'overReported'};
  }

  /** Sends the usage, if requested, and the terminator of a stream. */
  async finish({usageChunk}: StreamResult): Promise<void> {
    const {answer, body} = this.job;
    if (body.stream_options?.include_usage === true && usageChunk) {
      await answer.push(this.render(usageChunk));
    }
    await answer.push('data: [DONE]\n\n');
    answer.complete();
  }

  private async push(chunk: ChatChunk): Promise<void> {
    const {answer} = this.job;
    if (!answer.started) {
      const {metrics, now} = this.parts.dependencies;
      metrics.timing('requests.first_byte', now() - this.startedAt);
      answer.setHead({status: 200, contentType: 'text/event-stream'});
    }
    await answer.push(this.render(chunk));
  }

  /** Serializes a chunk, with an ID for the caller in place of the attempt's. */
  private render(chunk: ChatChunk): string {
    const copy: ChatChunk = {
      ...chunk,
      id: `chatcmpl-${this.job.requestId}`,
    };
    if (this.job.body.stream_options?.include_usage !== true) delete copy.usage;
    return `data: ${JSON.stringify(copy)}\n\n`;
  }
}

/** Whether a chunk contains text or tool calls, thus at least one token. */
function hasContent({choices}: ChatChunk): boolean {
  const delta = choices?.[0]?.delta;
  return Boolean(delta?.content) || delta?.tool_calls !== undefined;
}
