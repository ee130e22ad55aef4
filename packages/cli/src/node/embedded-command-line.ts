import { createRequire } from 'node:module';
import { getAsset, isSea } from 'node:sea';
import { compileFunction } from 'node:vm';

interface CommandLine {
  readonly run: (args: readonly string[]) => Promise<number>;
}

/** Asset name under which `scripts/build.ts` embeds the bundle of all commands. */
const ASSET = 'command-line.cjs';

/**
 * Returns the bundle of all commands, which is embedded in the binary as a separate asset; undefined
 * outside the binary. The bundle is compiled only on use, because most processes are nodes, which do
 * not need it.
 */
export function embeddedCommandLine(): CommandLine | undefined {
  if (!isSea()) return undefined;
  const module = { exports: {} };
  const parameters = ['exports', 'require', 'module', '__filename'];
  const defineModule = compileFunction(getAsset(ASSET, 'utf8'), parameters, { filename: ASSET });
  Reflect.apply(defineModule, undefined, [
    module.exports,
    createRequire(process.execPath),
    module,
    process.execPath,
  ]);
  return module.exports as CommandLine;
}
