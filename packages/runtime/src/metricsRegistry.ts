/**
 * @fileoverview Counters and histograms of one process, rendered in the
 * Prometheus text format.
 */

/** Values of the labels of one series. */
export type LabelValues = Readonly<Record<string, string>>;

/** Upper bounds of latency buckets, in milliseconds. */
const latencyBucketsMilliseconds: readonly number[] = [
  1, 2, 5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800,
];

/** Counts events. */
export interface Counter {
  add(labels?: LabelValues, amount?: number): void;
}

/** Counts observed durations by bucket. */
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
  type: 'counter' | 'histogram';
  counters: Map<string, number>;
  histograms: Map<string, HistogramSeries>;
}

/** Series of one family at most, so that labels can't exhaust the memory. */
const maxSeries = 500;

/** All metrics of a process. */
export class MetricsRegistry {
  private readonly families: Family[] = [];

  counter(name: string, help: string): Counter {
    const {counters} = this.family(name, help, 'counter');
    return {
      add: (labels = {}, amount = 1) => {
        const key = renderLabels(labels);
        if (!counters.has(key) && counters.size >= maxSeries) return;
        counters.set(key, (counters.get(key) ?? 0) + amount);
      },
    };
  }

  histogram(name: string, help: string): Histogram {
    const {histograms} = this.family(name, help, 'histogram');
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

  /** Returns all series in the Prometheus text format. */
  render(): string {
    return this.families.map(renderFamily).join('');
  }

  private family(name: string, help: string, type: Family['type']): Family {
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
  const {name, help, type, counters, histograms} = family;
  const lines = [`# HELP ${name} ${help}`, `# TYPE ${name} ${type}`];
  for (const [labels, value] of counters) {
    lines.push(`${name}${braced(labels)} ${value}`);
  }
  for (const [labels, series] of histograms) {
    let cumulative = 0;
    latencyBucketsMilliseconds.forEach((bound, index) => {
      cumulative += series.buckets[index] ?? 0;
      const bucket = join(labels, `le="${bound}"`);
      lines.push(`${name}_bucket${braced(bucket)} ${cumulative}`);
    });
    const all = join(labels, 'le="+Inf"');
    lines.push(
      `${name}_bucket${braced(all)} ${series.count}`,
      `${name}_sum${braced(labels)} ${series.sum.toFixed(3)}`,
      `${name}_count${braced(labels)} ${series.count}`,
    );
  }
  return `${lines.join('\n')}\n`;
}

function renderLabels(labels: LabelValues): string {
  return Object.entries(labels)
    .map(([key, value]) => `${key}="${value.replace(/["\\\n]/g, '_')}"`)
    .join(',');
}

function join(labels: string, label: string): string {
  return labels === '' ? label : `${labels},${label}`;
}

function braced(labels: string): string {
  return labels === '' ? '' : `{${labels}}`;
}
