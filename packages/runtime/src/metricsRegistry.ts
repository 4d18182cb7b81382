/**
 * @fileoverview Counters, gauges and histograms of one process, rendered in the
 * Prometheus text exposition format.
 */

/** Label values of one series, by label name. */
export type LabelValues = Readonly<Record<string, string>>;

/** Upper bounds of latency buckets, in milliseconds. */
const latencyBucketsMilliseconds: readonly number[] = [
  1, 2, 5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800,
];

/** Counter metric. */
export interface Counter {
  add(labels?: LabelValues, amount?: number): void;
}

/** Histogram metric of durations in milliseconds. */
export interface Histogram {
  observe(milliseconds: number, labels?: LabelValues): void;
}

interface HistogramSeries {
  buckets: number[];
  sum: number;
  count: number;
}

interface Family {
  name: string;
  help: string;
  type: 'counter' | 'gauge' | 'histogram';
  counters: Map<string, number>;
  histograms: Map<string, HistogramSeries>;
  /** Returns the value of a gauge. */
  read?: () => number;
}

/** Limit of series per metric family; bounds the memory used by labels. */
const maxSeries = 500;

/** Holds all metrics of a process. */
export class MetricsRegistry {
  private readonly families: Family[] = [];

  /** Registers a counter; with a name that is registered, returns that one. */
  counter(name: string, help: string): Counter {
    const {counters} = this.addFamily(name, help, 'counter');
    return {
      add: (labels = {}, amount = 1) => {
        const key = renderLabels(labels);
        if (!counters.has(key) && counters.size >= maxSeries) return;
        counters.set(key, (counters.get(key) ?? 0) + amount);
      },
    };
  }

  /** Registers a gauge whose value is read each time that it is rendered. */
  gauge(name: string, help: string, read: () => number): void {
    this.addFamily(name, help, 'gauge').read = read;
  }

  /** Registers a histogram, in the same way. */
  histogram(name: string, help: string): Histogram {
    const {histograms} = this.addFamily(name, help, 'histogram');
    return {
      observe: (milliseconds, labels = {}) => {
        const key = renderLabels(labels);
        let series = histograms.get(key);
        if (series === undefined) {
          if (histograms.size >= maxSeries) return;
          const buckets = latencyBucketsMilliseconds.map(() => 0);
          series = {buckets, sum: 0, count: 0};
          histograms.set(key, series);
        }
        series.sum += milliseconds;
        series.count++;
        const bucket = latencyBucketsMilliseconds.findIndex(
          bound => milliseconds <= bound,
        );
        if (bucket >= 0) series.buckets[bucket]!++;
      },
    };
  }

  /** Returns all series in the Prometheus text exposition format. */
  render(): string {
    return this.families.map(renderFamily).join('');
  }

  private addFamily(name: string, help: string, type: Family['type']): Family {
    const known = this.families.find(family => family.name === name);
    if (known !== undefined) return known;
    const family: Family = {
      name,
      help,
      type,
      counters: new Map(),
      histograms: new Map(),
    };
    this.families.push(family);
    return family;
  }
}

function renderFamily(family: Family): string {
  const {name, help, type, counters, histograms, read} = family;
  const lines = [`# HELP ${name} ${help}`, `# TYPE ${name} ${type}`];
  if (read !== undefined) lines.push(`${name} ${read()}`);
  for (const [labels, value] of counters) {
    lines.push(`${name}${wrapInBraces(labels)} ${value}`);
  }
  for (const [labels, series] of histograms) {
    let cumulative = 0;
    latencyBucketsMilliseconds.forEach((bound, index) => {
      cumulative += series.buckets[index] ?? 0;
      const bucket = joinLabels(labels, `le="${bound}"`);
      lines.push(`${name}_bucket${wrapInBraces(bucket)} ${cumulative}`);
    });
    const infinityBucket = joinLabels(labels, 'le="+Inf"');
    lines.push(
      `${name}_bucket${wrapInBraces(infinityBucket)} ${series.count}`,
      `${name}_sum${wrapInBraces(labels)} ${series.sum.toFixed(3)}`,
      `${name}_count${wrapInBraces(labels)} ${series.count}`,
    );
  }
  return `${lines.join('\n')}\n`;
}

function renderLabels(labels: LabelValues): string {
  return Object.entries(labels)
    .map(([key, value]) => `${key}="${value.replace(/["\\\n]/g, '_')}"`)
    .join(',');
}

function joinLabels(labels: string, label: string): string {
  return labels === '' ? label : `${labels},${label}`;
}

function wrapInBraces(labels: string): string {
  return labels === '' ? '' : `{${labels}}`;
}
