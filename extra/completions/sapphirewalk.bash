# Completions of sapphirewalk for bash.
_sapphirewalk() {
    local word="${COMP_WORDS[COMP_CWORD]}" command="${COMP_WORDS[1]}"
    case "$command" in
    audit | config) [ "$COMP_CWORD" -gt 2 ] && command="$command ${COMP_WORDS[2]}" ;;
    esac
    local choices
    if [ "$COMP_CWORD" -eq 1 ]; then
        choices="gateway scheduler entry explain config keygen sign rollout rollback audit dump settings submit show cancel replay"
    else
        case "$command" in
        config) choices="check --help" ;;
        "config check") choices="--help --in-force --strict --json" ;;
        audit) choices="verify query in-force --help" ;;
        "gateway") choices="--help --settings --check" ;;
        "scheduler") choices="--help --settings --check" ;;
        "entry") choices="--help --settings --check" ;;
        "explain") choices="--help" ;;
        "keygen") choices="--help --key-file" ;;
        "sign") choices="--help --settings --bundle --operator --key-file --signatures" ;;
        "rollout") choices="--help --settings --digest --reason --operator --key-file" ;;
        "rollback") choices="--help --settings --to --reason --operator --key-file" ;;
        "audit verify") choices="--help --settings" ;;
        "audit query") choices="--help --settings --task --request --from-ms --to-ms" ;;
        "audit in-force") choices="--help --settings --at-ms" ;;
        "dump") choices="--help --json" ;;
        "settings") choices="--help" ;;
        "submit") choices="--help --address --file" ;;
        "show") choices="--help --address" ;;
        "cancel") choices="--help --address" ;;
        "replay") choices="--help" ;;
        esac
    fi
    mapfile -t COMPREPLY < <(compgen -W "$choices" -- "$word")
    if [ "${#COMPREPLY[@]}" -eq 0 ]; then
        mapfile -t COMPREPLY < <(compgen -f -- "$word")
    fi
}
complete -F _sapphirewalk sapphirewalk
