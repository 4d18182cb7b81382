/**
 * @fileoverview Authentication of calls between instances by a shared key.
 *
 * Each call has an HMAC-SHA256 over the cluster name, the caller, the wall
 * time, the path and the body. The key of the HMAC is derived from the
 * cluster's shared key by HKDF. A signature is valid for calls whose time
 * is within `maximumClockSkewMilliseconds` of the receiver's clock, which
 * limits replays. The calls tolerate replays within that time.
 */
import {createHmac, hkdfSync, timingSafeEqual} from 'node:crypto';

import {type PeerRejection} from './peerErrors.js';

/** Header with the value `cluster;instance;time;signature`. */
export const peerHeader = 'x-dogwoodtrestle-peer';

/** Largest accepted difference between the clocks of two instances. */
export const maximumClockSkewMilliseconds = 30_000;

const derivedKeyBytes = 32;
const derivationLabel = 'dogwoodtrestle peer calls';

/** Credentials that sign and verify calls. */
export interface PeerCredentials {
  cluster: string;
  /** Name of the signing instance. */
  instance: string;
  /** Key as returned by `derivePeerKey`. */
  key: Buffer;
}

/** The signed parts of a call apart from the credentials. */
export interface SignedCall {
  path: string;
  body: string;
  /** Wall time of the caller in milliseconds since the epoch. */
  time: number;
}

/** Result of a verification. */
export type PeerVerification =
  | {kind: 'verified'; instance: string}
  | {kind: 'rejected'; code: PeerRejection; message: string};

/** Derives the signing key from the cluster's shared key. */
export function derivePeerKey(clusterKey: string): Buffer {
  return Buffer.from(
    hkdfSync('sha256', clusterKey, '', derivationLabel, derivedKeyBytes),
  );
}

/** Returns the value of the header that authenticates a call. */
export function signCall(
  credentials: PeerCredentials,
  call: SignedCall,
): string {
  const {cluster, instance} = credentials;
  const signature = signatureOf(credentials, call).toString('base64url');
  return [
    encodeURIComponent(cluster),
    encodeURIComponent(instance),
    call.time,
    signature,
  ].join(';');
}

/**
 * Verifies the header of a received call.
 *
 * The cluster name is compared first, so that an instance of another cluster,
 * whose key differs too, is told that the cluster is wrong.
 */
export function verifyCall(
  credentials: PeerCredentials,
  header: unknown,
  call: SignedCall,
): PeerVerification {
  const parts = typeof header === 'string' ? header.split(';') : [];
  const [cluster, instance, time, signature] = parts;
  if (parts.length !== 4 || !cluster || !instance || !time || !signature) {
    return rejected('missingSignature', `header ${peerHeader} is missing`);
  }
  const sender = {...credentials, instance: decode(instance)};
  if (decode(cluster) !== credentials.cluster) {
    return rejected(
      'wrongCluster',
      `instance '${sender.instance}' belongs to cluster '${decode(cluster)}', this is cluster '${credentials.cluster}'`,
    );
  }
  const expected = signatureOf(sender, {...call, time: Number(time)});
  if (!equalBytes(expected, Buffer.from(signature, 'base64url'))) {
    return rejected(
      'badSignature',
      `call of instance '${sender.instance}' isn't signed with this cluster's key`,
    );
  }
  const skew = Number(time) - call.time;
  if (Math.abs(skew) > maximumClockSkewMilliseconds) {
    return rejected(
      'clockSkew',
      `clock of instance '${sender.instance}' is ${Math.round(skew)} ms from the clock here, at most ${maximumClockSkewMilliseconds} ms are allowed`,
    );
  }
  return {kind: 'verified', instance: sender.instance};
}

function signatureOf(credentials: PeerCredentials, call: SignedCall): Buffer {
  const {cluster, instance, key} = credentials;
  return createHmac('sha256', key)
    .update(JSON.stringify([cluster, instance, call.time, call.path]))
    .update(call.body)
    .digest();
}

function equalBytes(left: Buffer, right: Buffer): boolean {
  return left.length === right.length && timingSafeEqual(left, right);
}

function decode(part: string): string {
  try {
    return decodeURIComponent(part);
  } catch {
    return part;
  }
}

function rejected(code: PeerRejection, message: string): PeerVerification {
  return {kind: 'rejected', code, message};
}
