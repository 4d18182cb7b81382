/** @fileoverview `completion`: prints a completion script for bash. */
import {type Command} from 'commander';

import {type Context} from '../context.js';
import {type CommandModule} from './commandModule.js';

export const completion: CommandModule = (parent, bind) => {
  parent
    .command('completion')
    .description(
      'print a bash completion script: source <(dogwoodctl completion)',
    )
    .action(
      bind((context: Context) => {
        context.host.stdout.write(renderScript(parent));
      }),
    );
};

function renderScript(program: Command): string {
  const cases = program.commands
    .filter(command => command.commands.length > 0)
    .map(command => `    ${command.name()}) words="${namesOf(command)}" ;;`);
  return `_dogwoodctl() {
  local words="${namesOf(program)}"
  case "\${COMP_WORDS[1]}" in
${cases.join('\n')}
  esac
  [ "$COMP_CWORD" -gt 2 ] && words=""
  COMPREPLY=($(compgen -W "$words" -- "\${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _dogwoodctl dogwoodctl
`;
}

function namesOf(command: Command): string {
  return command.commands.map(each => each.name()).join(' ');
}
