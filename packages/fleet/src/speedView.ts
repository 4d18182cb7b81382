/**
 * @fileoverview Compact form of the leader's view of the servers: four bytes for
 * each, in the order of a list of names that only grows.
 */
import {
  type SpeedNotice,
  type SpeedReport,
  type SpeedValues,
} from '@dogwoodtrestle/schema';

import {type ResponseModel} from './serverSpeeds.js';

/** What a view says of a server. */
export interface ServerSight {
  server: string;
  startedAt: number;
  /** Its times as a multiple of those of the service's model. */
  slowness: number;
  /** Its slowly changing speed, relative to the service's mean. */
  capacity: number;
  /** Open requests of all routers. */
  openRequests: number;
  refusalShare: number;
}

/** A view as it is sent: the names that a router lacks, and the values of all. */
export interface SpeedView {
  speeds: SpeedNotice;
  /** The same object for all routers, until there is a newer view. */
  speedValues: SpeedValues;
}

/** A view that was read. */
export interface ReadView {
  servers: ServerSight[];
  models: Map<string, ResponseModel>;
}

/** Values of one server, with its position in the list of names. */
export type ListedSight = Omit<ServerSight, 'server' | 'startedAt'> & {
  index: number;
};

const bytesPerServer = 4;
const maxByte = 255;

/** Byte for a ratio of 1. */
const middleByte = 128;

/** Steps of a ratio's byte for each doubling. */
const stepsPerDoubling = 16;

/** Writes the values of servers; those that aren't listed get zeros. */
export function encodeSights(
  sights: readonly ListedSight[],
  count: number,
): string {
  const bytes = Buffer.alloc(count * bytesPerServer);
  for (const {
    index,
    slowness,
    capacity,
    openRequests,
    refusalShare,
  } of sights) {
    const at = index * bytesPerServer;
    bytes[at] = ratioByte(slowness);
    bytes[at + 1] = ratioByte(capacity);
    bytes[at + 2] = Math.min(maxByte, Math.max(0, Math.round(openRequests)));
    bytes[at + 3] = Math.round(refusalShare * maxByte);
  }
  return bytes.toString('base64');
}

/** Reads views, and remembers the names that they refer to. */
export class SightReader {
  private list = '';
  private names: string[] = [];

  /** The names that are known, for the next report. */
  get position(): Pick<SpeedReport, 'list' | 'names'> {
    return {list: this.list, names: this.names.length};
  }

  /** Returns undefined if names are missing that the view refers to. */
  read({speeds, speedValues}: SpeedView): ReadView | undefined {
    const {list, from, names} = speeds;
    const {values, models} = speedValues;
    const isSameList = list === this.list;
    if (from > (isSameList ? this.names.length : 0)) return undefined;
    this.names = isSameList ? this.names.slice(0, from) : [];
    this.names.push(...names);
    this.list = list;
    const bytes = Buffer.from(values, 'base64');
    const servers = this.names.flatMap((name, index) =>
      readSight(name, bytes.subarray(index * bytesPerServer)),
    );
    return {
      servers,
      models: new Map(models.map(({service, ...model}) => [service, model])),
    };
  }
}

function readSight(name: string, bytes: Buffer): ServerSight[] {
  const [slowness = 0, capacity = 0, openRequests = 0, refusals = 0] = bytes;
  // A server that is gone.
  if (slowness === 0) return [];
  const end = name.lastIndexOf('@');
  return [
    {
      server: name.slice(0, end),
      startedAt: Number(name.slice(end + 1)),
      slowness: ratioOf(slowness),
      capacity: ratioOf(capacity),
      openRequests,
      refusalShare: refusals / maxByte,
    },
  ];
}

function ratioByte(ratio: number): number {
  const byte = middleByte + Math.round(Math.log2(ratio) * stepsPerDoubling);
  return Math.min(maxByte, Math.max(1, byte));
}

function ratioOf(byte: number): number {
  return 2 ** ((byte - middleByte) / stepsPerDoubling);
}
