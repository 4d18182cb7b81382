/**
 * @fileoverview Tracing with one span for each hop of a request.
 *
 * Spans are exported to an OTLP/HTTP endpoint, or to a JSONL file if no
 * endpoint is set. The W3C `traceparent` header propagates the context.
 */
import {createWriteStream, type WriteStream} from 'node:fs';

import {type Settings} from '@dogwoodtrestle/schema';
import {
  type Context,
  type Span,
  type SpanAttributes,
  SpanKind,
  SpanStatusCode,
  ROOT_CONTEXT,
  trace,
  type Tracer,
} from '@opentelemetry/api';
import {
  ExportResultCode,
  hrTimeToMilliseconds,
  W3CTraceContextPropagator,
  type ExportResult,
} from '@opentelemetry/core';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
  BasicTracerProvider,
  BatchSpanProcessor,
  type ReadableSpan,
  type SpanExporter,
} from '@opentelemetry/sdk-trace-base';

/** Names of spans, one for each kind of hop. */
export type Hop =
  | 'caller to router'
  | 'router to ledger: open'
  | 'router to ledger: settle'
  | 'router to journal: open'
  | 'router to journal: settle'
  | 'router to backend server'
  | 'router to backend server: retry'
  | 'router to backend server: resume'
  | 'router to backend server: read back';

/** Creates spans and extracts their context from headers. */
export class Tracing {
  private readonly propagator = new W3CTraceContextPropagator();

  constructor(
    private readonly provider: BasicTracerProvider,
    private readonly tracer: Tracer,
  ) {}

  /** Returns the trace context in the headers of a request. */
  extract(headers: Record<string, unknown>): Context {
    return this.propagator.extract(ROOT_CONTEXT, headers, {
      get: (carrier, key) => {
        const value = (carrier as Record<string, unknown>)[key];
        return typeof value === 'string' ? value : undefined;
      },
      keys: carrier => Object.keys(carrier as object),
    });
  }

  /** Starts the span of one hop. */
  start(hop: Hop, parent: Context, attributes: SpanAttributes = {}): Span {
    const kind = hop === 'caller to router' ? SpanKind.SERVER : SpanKind.CLIENT;
    return this.tracer.startSpan(hop, {kind, attributes}, parent);
  }

  /**
   * Runs a function within the span of one hop. If it rejects, the span gets
   * the error's message and the error is rethrown.
   */
  async run<T>(
    hop: Hop,
    parent: Context,
    attributes: SpanAttributes,
    body: (span: Span) => Promise<T>,
  ): Promise<T> {
    const span = this.start(hop, parent, attributes);
    try {
      return await body(span);
    } catch (error) {
      span.setStatus({
        code: SpanStatusCode.ERROR,
        message: (error as Error).message,
      });
      throw error;
    } finally {
      span.end();
    }
  }

  /** Exports the remaining spans and stops. */
  async close(): Promise<void> {
    await this.provider.shutdown();
  }
}

/** Returns a context whose active span is the given one. */
export function contextOf(span: Span): Context {
  return trace.setSpan(ROOT_CONTEXT, span);
}

/** Returns the `traceparent` header of a span. */
export function traceparentOf(span: Span): string {
  const {traceId, spanId, traceFlags} = span.spanContext();
  return `00-${traceId}-${spanId}-0${traceFlags.toString(16)}`;
}

/** Creates the tracing of an instance. */
export function createTracing(settings: Settings): Tracing {
  const {otlpUrl, file} = settings.traces;
  const exporters: SpanExporter[] = [];
  if (otlpUrl !== undefined) {
    exporters.push(new OTLPTraceExporter({url: otlpUrl}));
  } else if (file !== undefined) {
    exporters.push(new FileExporter(file));
  }
  const provider = new BasicTracerProvider({
    resource: resourceFromAttributes({
      'service.name': 'dogwoodtrestled',
      'service.instance.id': settings.instance.name,
    }),
    spanProcessors: exporters.map(
      exporter => new BatchSpanProcessor(exporter, {scheduledDelayMillis: 200}),
    ),
  });
  return new Tracing(provider, provider.getTracer('dogwoodtrestle'));
}

/** Appends finished spans to a file, one JSON object per line. */
class FileExporter implements SpanExporter {
  private readonly stream: WriteStream;

  constructor(file: string) {
    this.stream = createWriteStream(file, {flags: 'a'});
    this.stream.on('error', () => undefined);
  }

  export(spans: ReadableSpan[], done: (result: ExportResult) => void): void {
    const lines = spans.map(span => `${JSON.stringify(fileRecordOf(span))}\n`);
    this.stream.write(lines.join(''), error => {
      done({
        code: error ? ExportResultCode.FAILED : ExportResultCode.SUCCESS,
      });
    });
  }

  shutdown(): Promise<void> {
    return new Promise(resolve => {
      this.stream.end(() => resolve());
    });
  }
}

function fileRecordOf(span: ReadableSpan): object {
  const {traceId, spanId} = span.spanContext();
  return {
    traceId,
    spanId,
    parentSpanId: span.parentSpanContext?.spanId,
    name: span.name,
    instance: span.resource.attributes['service.instance.id'],
    startMs: hrTimeToMilliseconds(span.startTime),
    durationMs: hrTimeToMilliseconds(span.duration),
    status: span.status.code === SpanStatusCode.ERROR ? 'error' : 'ok',
    attributes: span.attributes,
  };
}
