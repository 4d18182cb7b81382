/**
 * @fileoverview Loads the settings file of a daemon.
 *
 * All violations of the schema are reported together. If there are none, so are
 * all findings that concern several fields or files on disk.
 */
import {readFile, stat} from 'node:fs/promises';
import net from 'node:net';
import path from 'node:path';

import {
  type Finding,
  locateFindings,
  readDocument,
  type Settings,
  type Validation,
} from '@dogwoodtrestle/schema';

/** Keys from the files that the settings refer to. */
export interface Secrets {
  clusterKey: string;
  operatorKey?: string;
  backendKey?: string;
}

/** Settings and the secrets that they refer to. */
export interface LoadedSettings {
  settings: Settings;
  secrets: Secrets;
}

/** Smallest accepted length of a key in characters. */
const minimumKeyLength = 16;

const peerAddressPattern = /^(\[[0-9a-fA-F:]+\]|[0-9.]+):\d{1,5}$/;

/**
 * Loads and validates a settings file.
 *
 * @param file Path of the YAML file. Relative paths in it are resolved against
 *     its folder.
 */
export async function loadSettings(
  file: string,
): Promise<Validation<LoadedSettings>> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (error) {
    return {
      findings: [
        {file, path: '', message: `can't be read: ${(error as Error).message}`},
      ],
    };
  }
  const document = readDocument('Settings', text, file);
  if ('findings' in document) return document;
  const settings = resolvePaths(document.value, path.dirname(file));
  const secrets: Secrets = {clusterKey: ''};
  const findings = [
    ...checkAddresses(settings),
    ...(await checkDataFolder(settings)),
    ...(await readSecrets(settings, secrets)),
  ];
  return findings.length === 0
    ? {value: {settings, secrets}}
    : {findings: locateFindings(findings, text, file)};
}

function resolvePaths(settings: Settings, folder: string): Settings {
  const resolve = (file: string | undefined) =>
    file === undefined ? undefined : path.resolve(folder, file);
  return {
    ...settings,
    cluster: {
      ...settings.cluster,
      keyFile: path.resolve(folder, settings.cluster.keyFile),
    },
    instance: {
      ...settings.instance,
      dataFolder: resolve(settings.instance.dataFolder),
    },
    operators: {keyFile: resolve(settings.operators.keyFile)},
    backends: {
      ...settings.backends,
      keyFile: resolve(settings.backends.keyFile),
    },
    traces: {...settings.traces, file: resolve(settings.traces.file)},
  };
}

function checkAddresses(settings: Settings): Finding[] {
  const findings: Finding[] = [];
  if (net.isIP(settings.instance.address) === 0) {
    findings.push({
      path: '/instance/address',
      message: `'${settings.instance.address}' is not an IP address`,
    });
  }
  for (const field of ['seeds', 'initialReplicas'] as const) {
    settings.cluster[field].forEach((address, index) => {
      if (peerAddressPattern.test(address)) return;
      findings.push({
        path: `/cluster/${field}/${index}`,
        message: `'${address}' is not of the form IP:port`,
      });
    });
  }
  const {callerPort, peerPort} = settings.listeners;
  if (callerPort === peerPort) {
    findings.push({
      path: '/listeners/peerPort',
      message: `port ${peerPort} is already used by callerPort`,
    });
  }
  return findings;
}

async function checkDataFolder(settings: Settings): Promise<Finding[]> {
  const {dataFolder, roles} = settings.instance;
  if (dataFolder === undefined) {
    return roles.includes('ledger')
      ? [
          {
            path: '/instance',
            message: "the ledger role needs the field 'dataFolder'",
          },
        ]
      : [];
  }
  const isFolder = await stat(dataFolder).then(
    entry => entry.isDirectory(),
    () => false,
  );
  return isFolder
    ? []
    : [
        {
          path: '/instance/dataFolder',
          message: `folder '${dataFolder}' does not exist`,
        },
      ];
}

async function readSecrets(
  settings: Settings,
  secrets: Secrets,
): Promise<Finding[]> {
  const files = [
    {
      name: 'clusterKey',
      path: '/cluster/keyFile',
      file: settings.cluster.keyFile,
    },
    {
      name: 'operatorKey',
      path: '/operators/keyFile',
      file: settings.operators.keyFile,
    },
    {
      name: 'backendKey',
      path: '/backends/keyFile',
      file: settings.backends.keyFile,
    },
  ] as const;
  const findings: Finding[] = [];
  for (const {name, path: pointer, file} of files) {
    if (file === undefined) continue;
    try {
      const key = (await readFile(file, 'utf8')).trim();
      if (key.length < minimumKeyLength) {
        findings.push({
          path: pointer,
          message: `the key in '${file}' is shorter than ${minimumKeyLength} characters`,
        });
      }
      secrets[name] = key;
    } catch (error) {
      findings.push({
        path: pointer,
        message: `key file can't be read: ${(error as Error).message}`,
      });
    }
  }
  return findings;
}
